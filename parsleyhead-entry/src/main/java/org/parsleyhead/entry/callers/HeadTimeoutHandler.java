package org.parsleyhead.entry.callers;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection if the head of its first request does not arrive within a timeout. Received
 * bytes do not extend the timeout; {@link ReceiveTimeoutHandler} or the configuration of HTTP/2
 * removes this handler. Mutable. Confined to the event loop of its channel.
 */
final class HeadTimeoutHandler extends ChannelInboundHandlerAdapter {

  private final Duration timeout;
  private ScheduledFuture<?> pendingTimeout;

  HeadTimeoutHandler(Duration timeout) {
    this.timeout = timeout;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Runnable expired = context::close;
    pendingTimeout = context.executor().schedule(expired, timeout.toNanos(), TimeUnit.NANOSECONDS);
    context.fireChannelActive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    if (pendingTimeout != null) {
      pendingTimeout.cancel(false);
    }
  }
}
