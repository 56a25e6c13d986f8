package org.parsleyhead.entry.callers;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.parsleyhead.core.request.Refusal;
import org.parsleyhead.core.request.RefusalCode;

/**
 * Aggregates the body of each request up to a maximum size; a request with a larger body is refused
 * and its connection is closed. Confined to the event loop of its channel.
 */
final class BodyCollector extends HttpObjectAggregator {

  BodyCollector(int maximumBodyBytes) {
    super(maximumBodyBytes);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    refuseAndClose(context, RefusalCode.REQUEST_TOO_LARGE, "the body is too long");
  }

  /** Responds with a refusal outside of an exchange and closes the connection. */
  static void refuseAndClose(ChannelHandlerContext context, RefusalCode code, String message) {
    byte[] body = ResponseBodyEncoder.encodeRefusal(Refusal.notRun(code, message));
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(code.status()),
            Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
