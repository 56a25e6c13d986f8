package org.parsleyhead.entry.callers;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.request.Refusal;
import org.parsleyhead.core.request.RefusalCode;
import org.parsleyhead.core.request.RequestDescription;

/**
 * Takes whole requests from one connection or HTTP/2 stream and starts an exchange for each.
 *
 * <p>Confined to the event loop of its channel. Requests that a caller sends ahead wait until the
 * answer before them is complete; a caller that sends too many ahead is disconnected.
 */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int MAXIMUM_REQUESTS_AHEAD = 16;

  private final CallerSettings settings;
  private final RequestReader reader;
  private final CallerPort port;
  private final Queue<FullHttpRequest> ahead = new ArrayDeque<>();
  private Exchange current;

  CallerHandler(CallerSettings settings, RequestReader reader, CallerPort port) {
    this.settings = settings;
    this.reader = reader;
    this.port = port;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (current == null) {
      start(context, request);
    } else if (ahead.size() < MAXIMUM_REQUESTS_AHEAD) {
      ahead.add(request.retain());
    } else {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    gone();
    ahead.forEach(FullHttpRequest::release);
    ahead.clear();
    context.fireChannelInactive();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent && current == null) {
      context.close();
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      port.connectionFailed(cause);
    }
    context.close();
  }

  private void start(ChannelHandlerContext context, FullHttpRequest request) {
    RequestIdentifier identifier = port.nextIdentifier();
    boolean wellFormed = request.decoderResult().isSuccess();
    boolean keepAlive = wellFormed && HttpUtil.isKeepAlive(request) && !port.isStopping();
    ReceivedRequest received;
    try {
      if (!wellFormed) {
        throw new RequestRefusedException(malformed(request.decoderResult().cause()));
      }
      received = reader.read(identifier, request);
    } catch (RequestRefusedException exception) {
      exchange(context, refused(identifier), keepAlive).refuse(exception.refusal());
      return;
    }
    Exchange exchange = exchange(context, received, keepAlive);
    if (!port.received(exchange)) {
      exchange.refuse(
          Refusal.notRun(
              RefusalCode.OVERLOADED,
              "this host has no room for another request",
              settings.receiveTimeout()));
    }
  }

  private Exchange exchange(
      ChannelHandlerContext context, ReceivedRequest received, boolean keepAlive) {
    current =
        new Exchange(
            received,
            context.channel(),
            settings.maximumPendingBytes(),
            keepAlive,
            () -> ended(context));
    return current;
  }

  private void ended(ChannelHandlerContext context) {
    if (current != null) {
      port.ended(current);
      current = null;
    }
    FullHttpRequest next = ahead.poll();
    if (next != null && context.channel().isActive()) {
      context
          .executor()
          .execute(
              () -> {
                start(context, next);
                next.release();
              });
    }
  }

  private void gone() {
    if (current != null) {
      Exchange exchange = current;
      current = null;
      exchange.callerGone();
      port.callerGone(exchange);
    }
  }

  private static ReceivedRequest refused(RequestIdentifier identifier) {
    RequestDescription description =
        new RequestDescription(
            identifier,
            HttpMethod.GET.name(),
            "/",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            "");
    return new ReceivedRequest(description, "/", new DefaultHttpHeaders(), new byte[0], false);
  }

  private static Refusal malformed(Throwable cause) {
    return cause instanceof TooLongHttpHeaderException
        ? Refusal.notRun(RefusalCode.HEADERS_TOO_LARGE, "the header fields are too long")
        : Refusal.notRun(RefusalCode.INVALID_REQUEST, "the request is not valid HTTP");
  }
}
