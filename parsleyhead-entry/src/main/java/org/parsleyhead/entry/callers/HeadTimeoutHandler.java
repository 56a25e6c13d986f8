package org.parsleyhead.entry.callers;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection unless it is removed in time, which is done when the head of the first
 * request has arrived, however slowly single bytes come. Confined to the event loop of its channel.
 */
final class HeadTimeoutHandler extends ChannelInboundHandlerAdapter {

  private final Duration timeout;
  private ScheduledFuture<?> pending;

  HeadTimeoutHandler(Duration timeout) {
    this.timeout = timeout;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Runnable expired = context::close;
    pending = context.executor().schedule(expired, timeout.toNanos(), TimeUnit.NANOSECONDS);
    context.fireChannelActive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    if (pending != null) {
      pending.cancel(false);
    }
  }
}
