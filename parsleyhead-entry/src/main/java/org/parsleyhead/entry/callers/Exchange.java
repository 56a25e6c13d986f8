package org.parsleyhead.entry.callers;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.request.Refusal;

/**
 * One request and its response on the caller's connection.
 *
 * <p>All mutable state is confined to the event loop of the caller's channel. Methods that may be
 * called from any thread submit their work to that event loop. A response is started and completed
 * at most once; parts of a superseded attempt are dropped.
 */
public final class Exchange {

  private static final String REQUEST_IDENTIFIER_HEADER = "x-request-id";
  private static final int NO_ATTEMPT = 0;
  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private final ReceivedRequest request;
  private final Channel channel;
  private final int maximumPendingBytes;
  private final boolean keepAlive;
  private final Runnable completionListener;
  private int currentAttempt = NO_ATTEMPT;
  private int tokensSent;
  private boolean responseStarted;
  private boolean completed;

  Exchange(
      ReceivedRequest request,
      Channel channel,
      int maximumPendingBytes,
      boolean keepAlive,
      Runnable completionListener) {
    this.request = request;
    this.keepAlive = keepAlive;
    this.channel = channel;
    this.maximumPendingBytes = maximumPendingBytes;
    this.completionListener = completionListener;
  }

  /** Returns the request. May be called from any thread. */
  public ReceivedRequest request() {
    return request;
  }

  /** Runs a task on the event loop of the caller's channel. May be called from any thread. */
  public void execute(Runnable task) {
    channel.eventLoop().execute(task);
  }

  /** Makes an attempt the current one. Must be called on the event loop. */
  public void startAttempt(int attempt) {
    currentAttempt = attempt;
  }

  /** Returns whether parts of an attempt may be relayed. Must be called on the event loop. */
  public boolean isCurrent(int attempt) {
    return !completed && currentAttempt == attempt;
  }

  /**
   * Returns the number of generated tokens that were relayed to the caller. Must be called on the
   * event loop.
   */
  public int tokensSent() {
    return tokensSent;
  }

  /** Returns whether the response head was written. Must be called on the event loop. */
  public boolean isResponseStarted() {
    return responseStarted;
  }

  /**
   * Writes the head of a chunked response unless a response was started. Must be called on the
   * event loop.
   */
  public void startResponse(int status, HttpHeaders received) {
    if (completed || responseStarted) {
      return;
    }
    responseStarted = true;
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    head.headers().add(HeaderFilter.forCaller(received));
    head.headers().set(REQUEST_IDENTIFIER_HEADER, request.description().identifier().text());
    HttpUtil.setTransferEncodingChunked(head, true);
    setConnectionHeader(head);
    channel.write(head);
  }

  /**
   * Writes a part of the body, which is sent by the next {@link #flush()}. Must be called on the
   * event loop.
   *
   * @param part the bytes
   * @param tokens the number of generated tokens in the part
   * @return false if the exchange is completed, or was aborted because the caller reads too slowly
   */
  public boolean writePart(byte[] part, int tokens) {
    if (completed) {
      return false;
    }
    tokensSent += tokens;
    channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
    var buffer = channel.unsafe().outboundBuffer();
    if (buffer != null && buffer.totalPendingWriteBytes() > maximumPendingBytes) {
      abort();
      return false;
    }
    return true;
  }

  /** Sends the parts that were written. Must be called on the event loop. */
  public void flush() {
    if (!completed) {
      channel.flush();
    }
  }

  /** Completes a response that was started. Must be called on the event loop. */
  public void endResponse() {
    if (!completed && responseStarted) {
      completeAfter(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }
  }

  /** Writes a complete response unless a response was started. Must be called on the event loop. */
  public void respond(int status, HttpHeaders received, byte[] body) {
    if (completed || responseStarted) {
      return;
    }
    responseStarted = true;
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().add(HeaderFilter.forCaller(received));
    response.headers().set(REQUEST_IDENTIFIER_HEADER, request.description().identifier().text());
    HttpUtil.setContentLength(response, body.length);
    setConnectionHeader(response);
    completeAfter(channel.writeAndFlush(response));
  }

  /** Responds with the list of models. May be called from any thread. */
  public void respondWithModels(List<AdapterReference> models) {
    execute(() -> respondWithJson(HttpResponseStatus.OK, ResponseBodyEncoder.encodeModels(models)));
  }

  /**
   * Refuses the request. If the response was started, a stream ends with the refusal as its last
   * event, and the connection is closed. May be called from any thread.
   */
  public void refuse(Refusal refusal) {
    execute(() -> refuseNow(refusal));
  }

  /** Completes the exchange after the caller disconnected. Must be called on the event loop. */
  void callerDisconnected() {
    completed = true;
  }

  private void refuseNow(Refusal refusal) {
    if (completed) {
      return;
    }
    if (responseStarted) {
      endWithRefusal(refusal);
      return;
    }
    byte[] body = ResponseBodyEncoder.encodeRefusal(refusal);
    responseStarted = true;
    FullHttpResponse response =
        jsonResponse(HttpResponseStatus.valueOf(refusal.code().status()), body);
    refusal
        .retryAfter()
        .ifPresent(
            after -> response.headers().set(HttpHeaderNames.RETRY_AFTER, wholeSeconds(after)));
    completeAfter(channel.writeAndFlush(response));
  }

  private void endWithRefusal(Refusal refusal) {
    boolean streamed = request.description().modelCall().map(call -> call.streamed()).orElse(false);
    completed = true;
    if (streamed) {
      String event =
          "data: " + new String(ResponseBodyEncoder.encodeRefusal(refusal), UTF_8) + "\n\n";
      channel
          .writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(event, UTF_8)))
          .addListener(ChannelFutureListener.CLOSE);
    } else {
      channel.close();
    }
    completionListener.run();
  }

  private void abort() {
    completed = true;
    channel.close();
    completionListener.run();
  }

  private void respondWithJson(HttpResponseStatus status, byte[] body) {
    if (!completed && !responseStarted) {
      responseStarted = true;
      completeAfter(channel.writeAndFlush(jsonResponse(status, body)));
    }
  }

  private FullHttpResponse jsonResponse(HttpResponseStatus status, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().set(REQUEST_IDENTIFIER_HEADER, request.description().identifier().text());
    HttpUtil.setContentLength(response, body.length);
    setConnectionHeader(response);
    return response;
  }

  private void completeAfter(ChannelFuture written) {
    completed = true;
    written.addListener(
        keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
    completionListener.run();
  }

  private void setConnectionHeader(HttpResponse response) {
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private static long wholeSeconds(Duration duration) {
    return Math.max(
        1, (duration.toMillis() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
  }
}
