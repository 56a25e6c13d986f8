package org.parsleyhead.gateway.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.InvalidRequestException;

/**
 * One connection of a caller: assembles requests and passes them on one after the other.
 *
 * <p>Confined to the event loop. Pipelined requests are queued until the preceding response is
 * complete; while too many are queued, the connection is not read. A connection that this host
 * closes has written all bytes of the responses to the requests that it has taken, and takes no
 * further ones.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ExchangeConnection {

  /** The maximum number of requests that wait behind the current one. */
  private static final int MAXIMUM_PIPELINED_REQUESTS = 8;

  /** How long data is read and dropped before the close; the rest of a body arrives sooner. */
  private static final long LINGER_TIMEOUT_MILLISECONDS = 1_000;

  private final HttpDialect dialect;
  private final CallerListener listener;
  private final Supplier<RequestLimits> limits;
  private final LongSupplier requestKeys;
  private final AtomicInteger unanswered;
  private final Deque<PipelinedRequest> pipelined = new ArrayDeque<>();
  private HttpRequest head;
  private CompositeByteBuf body;
  private ChannelHandlerContext context;
  private Exchange current;
  private boolean currentKeepAlive;
  private OwedResponses owed;
  private Future<?> timeout;
  private boolean closeRequested;
  private boolean closing;

  /**
   * Creates the handler of one connection.
   *
   * @param unanswered counts the requests of all connections whose responses are not yet written
   */
  CallerConnection(
      HttpDialect dialect,
      CallerListener listener,
      Supplier<RequestLimits> limits,
      LongSupplier requestKeys,
      AtomicInteger unanswered) {
    this.dialect = dialect;
    this.listener = listener;
    this.limits = limits;
    this.requestKeys = requestKeys;
    this.unanswered = unanswered;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    owed = new OwedResponses(added.channel(), unanswered);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    scheduleTimeout(limits.get().idleTimeout().toMillis());
    context.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (closing || busy() && current.closeAnnounced()) {
        return;
      }
      if (message instanceof HttpRequest request) {
        beginRequest(request);
      }
      if (message instanceof HttpContent content && head != null) {
        appendContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null && context.channel().isWritable()) {
      current.writabilityRestored();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelTimeout();
    discardPartialRequest();
    discardPipelined();
    owed.removeAll();
    if (busy()) {
      current.endAfterDisconnect();
      listener.callerDisconnected(current);
    }
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  /** Closes the connection once all of its requests are answered. */
  void closeWhenIdle() {
    closeRequested = true;
    if (closing || busy() || head != null || !pipelined.isEmpty()) {
      return;
    }
    if (owed.written()) {
      closing = true;
      context.close();
    } else {
      closeAfterResponses();
    }
  }

  @Override
  public boolean closesAfterResponse() {
    return !currentKeepAlive || closeRequested && head == null && pipelined.isEmpty();
  }

  @Override
  public void closeWhenAnswered() {
    closeRequested = true;
  }

  @Override
  public void responseEnded(ChannelFuture written) {
    owed.ended(written);
    if (current.closeAnnounced() || closesAfterResponse()) {
      closeAfterResponses();
    } else {
      startNext();
    }
  }

  @Override
  public void responseAborted() {
    closing = true;
    scheduleTimeout(limits.get().idleTimeout().toMillis());
    owed.whenWritten(() -> context.close());
  }

  private boolean busy() {
    return current != null && !current.ended();
  }

  /** Closes the connection after the last byte of the responses, which may not be written yet. */
  private void closeAfterResponses() {
    closing = true;
    discardPartialRequest();
    discardPipelined();
    scheduleTimeout(limits.get().idleTimeout().toMillis());
    owed.whenWritten(this::linger);
  }

  private void beginRequest(HttpRequest request) {
    cancelTimeout();
    if (request.decoderResult().isFailure()) {
      rejectMalformed(request);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > limits.get().maximumBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    head = request;
    body = context.alloc().compositeBuffer();
    scheduleTimeout(limits.get().headerTimeout().toMillis());
  }

  private void appendContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST, "malformed_body");
      return;
    }
    if (body.readableBytes() + content.content().readableBytes()
        > limits.get().maximumBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    body.addComponent(true, content.content().retain());
    if (content instanceof LastHttpContent) {
      cancelTimeout();
      PipelinedRequest completeRequest = new PipelinedRequest(head, body);
      head = null;
      body = null;
      pipelined.add(completeRequest);
      owed.add();
      startNext();
    }
  }

  private void startNext() {
    boolean busy = busy();
    context.channel().config().setAutoRead(!busy || pipelined.size() < MAXIMUM_PIPELINED_REQUESTS);
    if (busy || pipelined.isEmpty()) {
      if (!busy && head == null) {
        scheduleTimeout(limits.get().idleTimeout().toMillis());
      }
      return;
    }
    cancelTimeout();
    PipelinedRequest completeRequest = pipelined.poll();
    currentKeepAlive = HttpUtil.isKeepAlive(completeRequest.head());
    try {
      current =
          new Exchange(
              context.channel(),
              completeRequest.head(),
              completeRequest.body(),
              dialect.readRequest(requestKeys.getAsLong(), completeRequest.head()),
              this);
    } catch (InvalidRequestException exception) {
      completeRequest.release();
      owed.remove();
      reject(HttpResponseStatus.BAD_REQUEST, exception.getMessage());
      return;
    }
    if (!listener.requestReceived(current)) {
      current.closeAfterResponse();
      current.respond(
          HttpResponseStatus.SERVICE_UNAVAILABLE, EmptyHttpHeaders.INSTANCE, new byte[0]);
    }
  }

  private void rejectMalformed(HttpRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean tooLong = cause instanceof TooLongFrameException;
    reject(
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST,
        tooLong ? "head_too_large" : "malformed_head");
  }

  private void reject(HttpResponseStatus status, String reason) {
    closing = true;
    cancelTimeout();
    discardPartialRequest();
    listener.requestRejected(status.code(), reason);
    if (busy()) {
      closeRequested = true;
      return;
    }
    discardPipelined();
    DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    owed.add();
    owed.ended(context.writeAndFlush(response));
    owed.whenWritten(this::linger);
  }

  /**
   * Closes the connection after a delay during which incoming data is still read, since the caller
   * could not read the response otherwise.
   */
  private void linger() {
    context.channel().config().setAutoRead(true);
    if (context.channel() instanceof SocketChannel channel) {
      channel.shutdownOutput();
    }
    cancelTimeout();
    timeout =
        context
            .executor()
            .schedule(() -> context.close(), LINGER_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  private void scheduleTimeout(long milliseconds) {
    cancelTimeout();
    timeout = context.executor().schedule(this::timedOut, milliseconds, TimeUnit.MILLISECONDS);
  }

  private void timedOut() {
    if (head != null) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "request_timeout");
    } else if (owed.progressing()) {
      scheduleTimeout(limits.get().idleTimeout().toMillis());
    } else {
      context.close();
    }
  }

  private void cancelTimeout() {
    if (timeout != null) {
      timeout.cancel(false);
      timeout = null;
    }
  }

  private void discardPartialRequest() {
    head = null;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private void discardPipelined() {
    for (PipelinedRequest request : pipelined) {
      request.release();
      owed.remove();
    }
    pipelined.clear();
  }

  /** A complete request that is queued until the preceding response is complete. */
  private record PipelinedRequest(HttpRequest head, ByteBuf body) {

    void release() {
      body.release();
    }
  }
}
