package org.parsleyhead.gateway.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.parsleyhead.core.dispatch.ServingRequest;

/**
 * A request of a caller and the answer to it.
 *
 * <p>Confined to the event loop. Exactly one answer is written; whatever comes after its end is
 * ignored. An answer that cannot be finished closes the connection, so that it never looks
 * complete.
 */
public final class Exchange {

  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECTION_STATUS = 300;

  private final Channel channel;
  private final HttpRequest head;
  private final ByteBuf body;
  private final ServingRequest request;
  private final Runnable onEnd;
  private boolean keepAlive;
  private boolean headSent;
  private boolean ended;
  private Optional<String> lastEvent = Optional.empty();
  private Optional<HeldResponse> heldResponse = Optional.empty();
  private Runnable onWritable = () -> {};

  Exchange(
      Channel channel,
      HttpRequest head,
      ByteBuf body,
      ServingRequest request,
      boolean keepAlive,
      Runnable whenEnded) {
    this.channel = channel;
    this.head = head;
    this.body = body;
    this.request = request;
    this.keepAlive = keepAlive;
    this.onEnd = whenEnded;
  }

  /** Returns the request. */
  public ServingRequest request() {
    return request;
  }

  /** Returns the head as the caller sent it. */
  public HttpRequest head() {
    return head;
  }

  /** Returns a view of the body that may be sent; it is released by the send. */
  public ByteBuf body() {
    return body.retainedDuplicate();
  }

  /** Returns the last event that the caller has got. */
  public Optional<String> lastEvent() {
    return lastEvent;
  }

  /** Tells whether the answer has begun. */
  public boolean responseStarted() {
    return headSent;
  }

  /** Tells whether the answer has ended. */
  public boolean ended() {
    return ended;
  }

  /** Makes this the last exchange of its connection. */
  public void closeAfterResponse() {
    keepAlive = false;
  }

  /** Tells whether the caller takes what is written; if not, calls back once it does. */
  public boolean checkWritable(Runnable callback) {
    onWritable = callback;
    return channel.isWritable();
  }

  /** Begins a stream. */
  public void startStream(HttpResponseStatus status, HttpHeaders headers) {
    if (ended || headSent) {
      return;
    }
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers.copy());
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnectionHeader(response.headers());
    headSent = true;
    channel.write(response, channel.voidPromise());
  }

  /** Passes whole events on; takes over the buffer. */
  public void writeEvents(ByteBuf events, Optional<String> newLastEvent) {
    if (ended) {
      events.release();
      return;
    }
    if (newLastEvent.isPresent()) {
      lastEvent = newLastEvent;
    }
    channel.writeAndFlush(new DefaultHttpContent(events), channel.voidPromise());
  }

  /** Ends a stream that is complete. */
  public void endStream() {
    if (!ended) {
      finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  /** Answers with a whole answer; breaks off if another answer has begun. */
  public void respond(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
    if (ended) {
      return;
    }
    if (headSent) {
      abort();
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.wrappedBuffer(content),
            headers.copy(),
            EmptyHttpHeaders.INSTANCE);
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    boolean ofHead = head.method().equals(HttpMethod.HEAD);
    if (!ofHead) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    }
    setConnectionHeader(response.headers());
    headSent = true;
    finish(response);
  }

  /** Keeps a whole answer of an instance, in place of one kept before. */
  public void holdResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
    heldResponse = Optional.of(new HeldResponse(status, headers, content));
  }

  /** Delivers the answer that was kept; breaks off if there is none. */
  public void deliverHeldResponse() {
    heldResponse.ifPresentOrElse(
        kept -> respond(kept.status(), kept.headers(), kept.content()), this::abort);
  }

  /** Closes the connection without an end of the answer. */
  public void abort() {
    if (!ended) {
      end();
      channel.close();
    }
  }

  /** Goes on with what waits until the caller takes more. */
  void writabilityRestored() {
    onWritable.run();
  }

  /** Ends without an answer, since the caller has left. */
  void endAfterDisconnect() {
    if (!ended) {
      end();
    }
  }

  /** Tells whether a status means success. */
  public static boolean isSuccess(HttpResponseStatus status) {
    return status.code() >= MIN_SUCCESS_STATUS && status.code() < MIN_REDIRECTION_STATUS;
  }

  private void finish(Object last) {
    end();
    if (keepAlive) {
      channel.writeAndFlush(last, channel.voidPromise());
      onEnd.run();
    } else {
      channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void end() {
    ended = true;
    body.release();
  }

  private void setConnectionHeader(HttpHeaders headers) {
    if (keepAlive) {
      headers.remove(HttpHeaderNames.CONNECTION);
    } else {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** A whole answer of an instance. */
  private record HeldResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}
}
