package org.parsleyhead.gateway.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
 * A request of a caller and the response to it.
 *
 * <p>Confined to the event loop. Exactly one response is written; anything after its end is
 * ignored. A response that cannot be completed closes the connection, so that it never looks
 * complete.
 */
public final class Exchange {

  private static final int MINIMUM_SUCCESS_STATUS = 200;
  private static final int MINIMUM_REDIRECTION_STATUS = 300;

  private final Channel channel;
  private final HttpRequest head;
  private final ByteBuf body;
  private final ServingRequest request;
  private final ExchangeConnection connection;
  private boolean headSent;
  private boolean closeAnnounced;
  private boolean ended;
  private Optional<String> lastEvent = Optional.empty();
  private Optional<BufferedResponse> bufferedResponse = Optional.empty();
  private Runnable onWritable = () -> {};

  Exchange(
      Channel channel,
      HttpRequest head,
      ByteBuf body,
      ServingRequest request,
      ExchangeConnection connection) {
    this.channel = channel;
    this.head = head;
    this.body = body;
    this.request = request;
    this.connection = connection;
  }

  /** Returns the decoded request. */
  public ServingRequest request() {
    return request;
  }

  /** Returns the head as received from the caller. */
  public HttpRequest head() {
    return head;
  }

  /** Returns a retained view of the body, which is released when it is sent. */
  public ByteBuf body() {
    return body.retainedDuplicate();
  }

  /** Returns the identifier of the last event that was written to the caller. */
  public Optional<String> lastEvent() {
    return lastEvent;
  }

  /** Returns whether the response has started. */
  public boolean responseStarted() {
    return headSent;
  }

  /** Returns whether the exchange has ended. */
  public boolean ended() {
    return ended;
  }

  /**
   * Closes the connection after the response of this exchange, and of those whose requests were
   * already taken from the connection.
   */
  public void closeAfterResponse() {
    connection.closeWhenAnswered();
  }

  /** Returns whether the caller was told that the connection ends with this response. */
  boolean closeAnnounced() {
    return closeAnnounced;
  }

  /**
   * Returns whether the connection to the caller is writable; if not, runs the callback once it is.
   */
  public boolean checkWritable(Runnable callback) {
    onWritable = callback;
    return channel.isWritable();
  }

  /** Starts a streamed response; does nothing if a response has already started. */
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

  /** Writes complete events and takes ownership of the buffer. */
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

  /** Ends a streamed response that is complete. */
  public void endStream() {
    if (!ended) {
      finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  /** Writes a complete response; aborts if another response has already started. */
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
    boolean headRequest = head.method().equals(HttpMethod.HEAD);
    if (!headRequest) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    }
    setConnectionHeader(response.headers());
    headSent = true;
    finish(response);
  }

  /** Buffers a complete response of an instance, in place of one that was buffered before. */
  public void bufferResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
    bufferedResponse = Optional.of(new BufferedResponse(status, headers, content));
  }

  /** Writes the buffered response; aborts if there is none. */
  public void deliverBufferedResponse() {
    bufferedResponse.ifPresentOrElse(
        buffered -> respond(buffered.status(), buffered.headers(), buffered.content()),
        this::abort);
  }

  /** Closes the connection without completing the response. */
  public void abort() {
    if (!ended) {
      end();
      connection.responseAborted();
    }
  }

  /** Runs the callback that waits for the connection to become writable. */
  void writabilityRestored() {
    onWritable.run();
  }

  /** Ends the exchange without a response, since the caller closed the connection. */
  void endAfterDisconnect() {
    if (!ended) {
      end();
    }
  }

  /** Returns whether a status indicates success. */
  public static boolean isSuccess(HttpResponseStatus status) {
    return status.code() >= MINIMUM_SUCCESS_STATUS && status.code() < MINIMUM_REDIRECTION_STATUS;
  }

  private void finish(Object last) {
    end();
    connection.responseEnded(channel.writeAndFlush(last));
  }

  private void end() {
    ended = true;
    body.release();
  }

  private void setConnectionHeader(HttpHeaders headers) {
    closeAnnounced = connection.closesAfterResponse();
    if (closeAnnounced) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else {
      headers.remove(HttpHeaderNames.CONNECTION);
    }
  }

  /** A complete response of an instance that has not been written yet. */
  private record BufferedResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}
}
