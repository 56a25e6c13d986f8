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
 * Receives complete requests from one connection or HTTP/2 stream and opens an exchange for each.
 *
 * <p>Mutable. Confined to the event loop of its channel. Pipelined requests are queued until the
 * preceding response is complete; a caller that pipelines too many requests is disconnected.
 */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

  private final CallerSettings settings;
  private final RequestReader reader;
  private final ExchangeHandler exchangeHandler;
  private final Queue<FullHttpRequest> pipelined = new ArrayDeque<>();
  private Exchange current;

  CallerHandler(CallerSettings settings, RequestReader reader, ExchangeHandler exchangeHandler) {
    this.settings = settings;
    this.reader = reader;
    this.exchangeHandler = exchangeHandler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (current == null) {
      start(context, request);
    } else if (pipelined.size() < MAXIMUM_PIPELINED_REQUESTS) {
      pipelined.add(request.retain());
    } else {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    callerDisconnected();
    pipelined.forEach(FullHttpRequest::release);
    pipelined.clear();
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
      exchangeHandler.connectionFailed(cause);
    }
    context.close();
  }

  private void start(ChannelHandlerContext context, FullHttpRequest request) {
    RequestIdentifier identifier = exchangeHandler.nextIdentifier();
    boolean wellFormed = request.decoderResult().isSuccess();
    boolean keepAlive =
        wellFormed && HttpUtil.isKeepAlive(request) && !exchangeHandler.isStopping();
    ReceivedRequest received;
    try {
      if (!wellFormed) {
        throw new RequestRefusedException(malformedRequestRefusal(request.decoderResult().cause()));
      }
      received = reader.read(identifier, request);
    } catch (RequestRefusedException exception) {
      openExchange(context, placeholder(identifier), keepAlive).refuse(exception.refusal());
      return;
    }
    Exchange exchange = openExchange(context, received, keepAlive);
    if (!exchangeHandler.submit(exchange)) {
      exchange.refuse(
          Refusal.notRun(
              RefusalCode.OVERLOADED,
              "this host has no room for another request",
              settings.receiveTimeout()));
    }
  }

  private Exchange openExchange(
      ChannelHandlerContext context, ReceivedRequest received, boolean keepAlive) {
    current =
        new Exchange(
            received,
            context.channel(),
            settings.maximumPendingBytes(),
            keepAlive,
            () -> exchangeCompleted(context));
    return current;
  }

  private void exchangeCompleted(ChannelHandlerContext context) {
    if (current != null) {
      exchangeHandler.completed(current);
      current = null;
    }
    FullHttpRequest next = pipelined.poll();
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

  private void callerDisconnected() {
    if (current != null) {
      Exchange exchange = current;
      current = null;
      exchange.callerDisconnected();
      exchangeHandler.callerDisconnected(exchange);
    }
  }

  private static ReceivedRequest placeholder(RequestIdentifier identifier) {
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

  private static Refusal malformedRequestRefusal(Throwable cause) {
    return cause instanceof TooLongHttpHeaderException
        ? Refusal.notRun(RefusalCode.HEADERS_TOO_LARGE, "the header fields are too long")
        : Refusal.notRun(RefusalCode.INVALID_REQUEST, "the request is not valid HTTP");
  }
}
