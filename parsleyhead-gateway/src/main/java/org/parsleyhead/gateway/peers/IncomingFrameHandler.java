package org.parsleyhead.gateway.peers;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;

/**
 * Passes the frames of another host to the receiver and acknowledges them after each read.
 *
 * <p>Confined to the event loop.
 */
final class IncomingFrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private final Consumer<byte[]> receiver;

  IncomingFrameHandler(Consumer<byte[]> receiver) {
    this.receiver = receiver;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    receiver.accept(bytes);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    context.writeAndFlush(PeerSockets.acknowledgementFrame(), context.voidPromise());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
