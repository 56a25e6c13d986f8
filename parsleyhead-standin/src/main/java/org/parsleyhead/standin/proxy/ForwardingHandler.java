package org.parsleyhead.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/** Hands the bytes and the end of one channel to its proxy connection. Confined to its loop. */
final class ForwardingHandler extends ChannelInboundHandlerAdapter {

  private final Consumer<ByteBuf> reader;
  private final Runnable end;

  ForwardingHandler(Consumer<ByteBuf> reader, Runnable end) {
    this.reader = reader;
    this.end = end;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    reader.accept((ByteBuf) message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    end.run();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
