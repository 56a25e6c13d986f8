package org.parsleyhead.entry.callers;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.core.request.RefusalCode;

/**
 * Refuses a request whose body does not arrive within a timeout. Mutable. Confined to the event
 * loop of its channel.
 */
final class ReceiveTimeoutHandler extends ChannelInboundHandlerAdapter {

  private final Duration timeout;
  private ScheduledFuture<?> pendingTimeout;

  ReceiveTimeoutHandler(Duration timeout) {
    this.timeout = timeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest
        && context.pipeline().get(HeadTimeoutHandler.class) != null) {
      context.pipeline().remove(HeadTimeoutHandler.class);
    }
    if (message instanceof HttpRequest && !(message instanceof LastHttpContent)) {
      cancel();
      pendingTimeout =
          context
              .executor()
              .schedule(() -> expired(context), timeout.toNanos(), TimeUnit.NANOSECONDS);
    }
    if (message instanceof LastHttpContent) {
      cancel();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancel();
    context.fireChannelInactive();
  }

  private void expired(ChannelHandlerContext context) {
    BodyCollector.refuseAndClose(
        context, RefusalCode.REQUEST_TIMEOUT, "the request was not received in time");
  }

  private void cancel() {
    if (pendingTimeout != null) {
      pendingTimeout.cancel(false);
      pendingTimeout = null;
    }
  }
}
