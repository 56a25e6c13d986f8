package org.parsleyhead.gateway.upstreams;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Bounds the bytes that are received on a connection before the response to the current request.
 *
 * <p>Confined to the event loop. The limits of the HTTP decoder apply to one message; a server can
 * send blank lines, interim responses or responses to other requests without end.
 */
final class UnansweredByteLimit extends ChannelInboundHandlerAdapter {

  /** Holds several late responses to earlier requests. */
  static final int MAXIMUM_BYTES = 256 << 10;

  private boolean waiting;
  private long receivedBytes;

  /** Starts to count, since a request was written to the connection. */
  static void requestWritten(Channel channel) {
    UnansweredByteLimit limit = channel.pipeline().get(UnansweredByteLimit.class);
    limit.waiting = true;
    limit.receivedBytes = 0;
  }

  /** Stops counting, since the response to the request has started. */
  static void responseStarted(Channel channel) {
    channel.pipeline().get(UnansweredByteLimit.class).waiting = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (waiting && message instanceof ByteBuf bytes) {
      receivedBytes += bytes.readableBytes();
      if (receivedBytes > MAXIMUM_BYTES) {
        ReferenceCountUtil.release(message);
        context.fireExceptionCaught(
            new TooLongFrameException(receivedBytes + " bytes received before the response"));
        return;
      }
    }
    context.fireChannelRead(message);
  }
}
