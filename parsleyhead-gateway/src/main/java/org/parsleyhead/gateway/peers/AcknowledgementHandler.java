package org.parsleyhead.gateway.peers;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;

/** Takes the acknowledgements of another host. Confined to the event loop. */
final class AcknowledgementHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private final PeerConnection link;

  AcknowledgementHandler(PeerConnection link) {
    this.link = link;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    link.acknowledged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
