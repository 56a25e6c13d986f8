package org.parsleyhead.gateway.peers;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;

/** Handles the acknowledgements of another host. Confined to the event loop. */
final class AcknowledgementHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private final PeerConnection connection;

  AcknowledgementHandler(PeerConnection connection) {
    this.connection = connection;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    connection.acknowledged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
