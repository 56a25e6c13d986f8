package org.parsleyhead.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/** Hands the bytes and the end of one channel to its proxy connection. Confined to its loop. */
final class ForwardingHandler extends ChannelInboundHandlerAdapter {

  private final Consumer<ByteBuf> bytesConsumer;
  private final Runnable closeAction;

  ForwardingHandler(Consumer<ByteBuf> reader, Runnable end) {
    this.bytesConsumer = reader;
    this.closeAction = end;
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
