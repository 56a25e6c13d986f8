package org.parsleyhead.entry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;
import org.parsleyhead.core.api.HostName;

/**
 * Reads pongs from a connection that this host opened.
 *
 * <p>Any other frame closes the connection. Confined to the event loop of its channel.
 */
final class OutgoingHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private final HostName host;
  private final long link;
  private final Consumer<LinkEvent> events;
  private final TransportCounters counters;

  OutgoingHandler(
      HostName host, long link, Consumer<LinkEvent> events, TransportCounters counters) {
    this.host = host;
    this.link = link;
    this.events = events;
    this.counters = counters;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    counters.bytesIn.add(Frames.HEADER_BYTES + frame.readableBytes());
    if (frame.isReadable()) {
      counters.malformed.increment();
      context.close();
      return;
    }
    events.accept(new LinkEvent.PongReceived(host, link));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    events.accept(new LinkEvent.Closed(host, link));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
