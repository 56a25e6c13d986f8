package org.parsleyhead.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/**
 * Passes the bytes and the close of one channel to its proxy connection. Confined to the event loop
 * of the channel.
 */
final class ForwardingHandler extends ChannelInboundHandlerAdapter {

  private final Consumer<ByteBuf> bytesConsumer;
  private final Runnable closeAction;

  ForwardingHandler(Consumer<ByteBuf> bytesConsumer, Runnable closeAction) {
    this.bytesConsumer = bytesConsumer;
    this.closeAction = closeAction;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    bytesConsumer.accept((ByteBuf) message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closeAction.run();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
