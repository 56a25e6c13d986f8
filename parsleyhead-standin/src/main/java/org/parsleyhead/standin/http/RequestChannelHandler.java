package org.parsleyhead.standin.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.ParsleyheadException;

/**
 * Passes each aggregated request of one connection to the request handler. Confined to its event
 * loop.
 */
final class RequestChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private final HttpRequestHandler handler;
  private Optional<ChannelExchange> current = Optional.empty();

  RequestChannelHandler(HttpRequestHandler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    ChannelExchange exchange =
        new ChannelExchange(context.channel(), HttpUtil.isKeepAlive(request));
    current = Optional.of(exchange);
    if (request.decoderResult().isFailure()) {
      exchange.respond(
          HttpResponseMessage.error(400, "bad_request", "the request is not HTTP/1.1"));
      return;
    }
    try {
      handler.handle(toMessage(request), exchange);
    } catch (ParsleyheadException exception) {
      exchange.respond(HttpResponseMessage.error(400, exception.code(), exception.getMessage()));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    current.ifPresent(ChannelExchange::connectionClosed);
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  private static HttpRequestMessage toMessage(FullHttpRequest request) {
    QueryStringDecoder target = new QueryStringDecoder(request.uri());
    Map<String, String> query = new HashMap<>();
    target.parameters().forEach((name, values) -> query.put(name, values.get(0)));
    List<HeaderField> headers =
        request.headers().entries().stream()
            .map(entry -> new HeaderField(entry.getKey(), entry.getValue()))
            .toList();
    return new HttpRequestMessage(
        request.method().name(),
        target.path(),
        query,
        headers,
        ByteBufUtil.getBytes(request.content()));
  }
}
