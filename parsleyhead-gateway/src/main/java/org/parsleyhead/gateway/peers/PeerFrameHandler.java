package org.parsleyhead.gateway.peers;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Passes the frames of another host on; an empty frame only shows that the host receives.
 *
 * <p>Confined to the event loop.
 */
final class PeerFrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private static final EventLog LOG = new EventLog("peers");

  private final PeerConnection connection;
  private final Consumer<byte[]> receiver;

  /**
   * Creates a handler.
   *
   * @param connection the connection to which it belongs
   * @param receiver receives each frame with a message
   */
  PeerFrameHandler(PeerConnection connection, Consumer<byte[]> receiver) {
    this.connection = connection;
    this.receiver = receiver;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    connection.received(bytes.length > 0, System.nanoTime());
    if (bytes.length > 0) {
      receiver.accept(bytes);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.warning(
        "connection_failed",
        "remote",
        context.channel().remoteAddress(),
        "reason",
        cause.getClass().getSimpleName());
    context.close();
  }
}
