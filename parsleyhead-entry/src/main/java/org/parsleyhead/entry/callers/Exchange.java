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
 * One request and its answer on the caller's connection.
 *
 * <p>All mutable state is confined to the event loop of the caller's channel; methods may be called
 * from any thread and hop there. An answer is begun and ended at most once; parts of an attempt
 * that was superseded are dropped.
 */
public final class Exchange {

  private static final String REQUEST_IDENTIFIER_HEADER = "x-request-id";
  private static final int NO_ATTEMPT = 0;
  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private final ReceivedRequest request;
  private final Channel channel;
  private final int maximumPendingBytes;
  private final boolean keepAlive;
  private final Runnable ended;
  private int currentAttempt = NO_ATTEMPT;
  private int tokensPassed;
  private boolean begun;
  private boolean over;

  Exchange(
      ReceivedRequest request,
      Channel channel,
      int maximumPendingBytes,
      boolean keepAlive,
      Runnable ended) {
    this.request = request;
    this.keepAlive = keepAlive;
    this.channel = channel;
    this.maximumPendingBytes = maximumPendingBytes;
    this.ended = ended;
  }

  /** Returns the request. */
  public ReceivedRequest request() {
    return request;
  }

  /** Runs a task on the event loop that all state of this exchange is confined to. */
  public void execute(Runnable task) {
    channel.eventLoop().execute(task);
  }

  /** Makes an attempt the current one. Runs on the event loop. */
  public void startAttempt(int attempt) {
    currentAttempt = attempt;
  }

  /** Tells whether parts of an attempt may be passed on. Runs on the event loop. */
  public boolean isCurrent(int attempt) {
    return !over && currentAttempt == attempt;
  }

  /** Returns how many generated tokens were passed to the caller. Runs on the event loop. */
  public int tokensPassed() {
    return tokensPassed;
  }

  /** Tells whether the head of the answer was passed. Runs on the event loop. */
  public boolean hasBegun() {
    return begun;
  }

  /** Passes the head of an answer whose length is not known. Runs on the event loop. */
  public void begin(int status, HttpHeaders received) {
    if (over || begun) {
      return;
    }
    begun = true;
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    head.headers().add(HeaderFilter.forCaller(received));
    head.headers().set(REQUEST_IDENTIFIER_HEADER, request.description().identifier().text());
    HttpUtil.setTransferEncodingChunked(head, true);
    announceClose(head);
    channel.write(head);
  }

  /**
   * Passes a part of the answer, which is sent with the next {@link #flush()}. Runs on the event
   * loop.
   *
   * @return false if the caller does not take the answer fast enough; the exchange is then over
   */
  public boolean pass(byte[] part, int tokens) {
    if (over) {
      return false;
    }
    tokensPassed += tokens;
    channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
    var buffer = channel.unsafe().outboundBuffer();
    if (buffer != null && buffer.totalPendingWriteBytes() > maximumPendingBytes) {
      abort();
      return false;
    }
    return true;
  }

  /** Sends the parts that were passed. Runs on the event loop. */
  public void flush() {
    if (!over) {
      channel.flush();
    }
  }

  /** Ends an answer that was begun. Runs on the event loop. */
  public void end() {
    if (!over && begun) {
      finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }
  }

  /** Passes a whole answer. Runs on the event loop. */
  public void answer(int status, HttpHeaders received, byte[] body) {
    if (over || begun) {
      return;
    }
    begun = true;
    FullHttpResponse whole =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    whole.headers().add(HeaderFilter.forCaller(received));
    whole.headers().set(REQUEST_IDENTIFIER_HEADER, request.description().identifier().text());
    HttpUtil.setContentLength(whole, body.length);
    announceClose(whole);
    finish(channel.writeAndFlush(whole));
  }

  /** Answers with the list of models. May be called from any thread. */
  public void answerModels(List<AdapterReference> models) {
    execute(() -> answerJson(HttpResponseStatus.OK, RefusalEncoder.encodeModels(models)));
  }

  /**
   * Tells the caller that there is no answer, or no more of it: an answer that was begun ends with
   * the refusal as its last event and the connection is closed. May be called from any thread.
   */
  public void refuse(Refusal refusal) {
    execute(() -> refuseNow(refusal));
  }

  /** Marks the exchange as over because the caller has gone. Runs on the event loop. */
  void callerGone() {
    over = true;
  }

  private void refuseNow(Refusal refusal) {
    if (over) {
      return;
    }
    if (begun) {
      abortWith(refusal);
      return;
    }
    byte[] body = RefusalEncoder.encode(refusal);
    begun = true;
    FullHttpResponse response = json(HttpResponseStatus.valueOf(refusal.code().status()), body);
    refusal
        .retryAfter()
        .ifPresent(
            after -> response.headers().set(HttpHeaderNames.RETRY_AFTER, wholeSeconds(after)));
    finish(channel.writeAndFlush(response));
  }

  private void abortWith(Refusal refusal) {
    boolean streamed = request.description().modelCall().map(call -> call.streamed()).orElse(false);
    over = true;
    if (streamed) {
      String event = "data: " + new String(RefusalEncoder.encode(refusal), UTF_8) + "\n\n";
      channel
          .writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(event, UTF_8)))
          .addListener(ChannelFutureListener.CLOSE);
    } else {
      channel.close();
    }
    ended.run();
  }

  private void abort() {
    over = true;
    channel.close();
    ended.run();
  }

  private void answerJson(HttpResponseStatus status, byte[] body) {
    if (!over && !begun) {
      begun = true;
      finish(channel.writeAndFlush(json(status, body)));
    }
  }

  private FullHttpResponse json(HttpResponseStatus status, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().set(REQUEST_IDENTIFIER_HEADER, request.description().identifier().text());
    HttpUtil.setContentLength(response, body.length);
    announceClose(response);
    return response;
  }

  private void finish(ChannelFuture written) {
    over = true;
    written.addListener(
        keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
    ended.run();
  }

  private void announceClose(HttpResponse response) {
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private static long wholeSeconds(Duration duration) {
    return Math.max(
        1, (duration.toMillis() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
  }
}
