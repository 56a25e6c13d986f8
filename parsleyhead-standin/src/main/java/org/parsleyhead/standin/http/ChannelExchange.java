package org.parsleyhead.standin.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** An exchange on a Netty channel. Thread-safe. */
final class ChannelExchange implements Exchange {

  private final Channel channel;
  private final boolean keepAlive;
  private Runnable closeAction = () -> {};
  private boolean closed;

  ChannelExchange(Channel channel, boolean keepAlive) {
    this.channel = channel;
    this.keepAlive = keepAlive;
  }

  @Override
  public void respond(HttpResponseMessage response) {
    FullHttpResponse encoded =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(response.body()));
    setHeaders(encoded, response.headers());
    encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    write(encoded, true);
  }

  @Override
  public void beginResponse(HttpResponseMessage response, int length) {
    HttpResponse head =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()));
    setHeaders(head, response.headers());
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    write(head, false);
    if (length > 0) {
      write(new DefaultHttpContent(Unpooled.wrappedBuffer(response.body(), 0, length)), false);
    }
  }

  @Override
  public void endResponse(HttpResponseMessage response, int sentLength) {
    int length = response.body().length - sentLength;
    write(
        new DefaultLastHttpContent(Unpooled.wrappedBuffer(response.body(), sentLength, length)),
        true);
  }

  @Override
  public void beginStream(int status, List<HeaderField> headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    setHeaders(response, headers);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    write(response, false);
  }

  @Override
  public void sendChunk(String chunk) {
    byte[] bytes = chunk.getBytes(StandardCharsets.UTF_8);
    write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), false);
  }

  @Override
  public void endStream() {
    write(LastHttpContent.EMPTY_LAST_CONTENT, true);
  }

  @Override
  public void reset() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  @Override
  public void onConnectionClosed(Runnable action) {
    if (setCloseAction(action)) {
      action.run();
    }
  }

  /** Runs the close action. Called once, after the connection closed. */
  void connectionClosed() {
    markClosed().run();
  }

  private synchronized boolean setCloseAction(Runnable action) {
    closeAction = action;
    return closed;
  }

  private synchronized Runnable markClosed() {
    closed = true;
    return closeAction;
  }

  private void setHeaders(HttpResponse response, List<HeaderField> headers) {
    headers.forEach(field -> response.headers().add(field.name(), field.value()));
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void write(Object message, boolean last) {
    var future = channel.writeAndFlush(message);
    if (last && !keepAlive) {
      future.addListener(ChannelFutureListener.CLOSE);
    }
  }
}
