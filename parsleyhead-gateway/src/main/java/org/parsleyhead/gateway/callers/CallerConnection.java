package org.parsleyhead.gateway.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
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
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.InvalidRequestException;

/**
 * One connection of a caller: assembles requests and passes them on one after the other.
 *
 * <p>Confined to the event loop. Pipelined requests are queued until the preceding response is
 * complete; while too many are queued, the connection is not read.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** The maximum number of requests that wait behind the current one. */
  private static final int MAXIMUM_PIPELINED_REQUESTS = 8;

  /** How long data is read after a rejection; the rest of a rejected body arrives sooner. */
  private static final long LINGER_TIMEOUT_MILLISECONDS = 1_000;

  private final HttpDialect dialect;
  private final CallerListener listener;
  private final Supplier<RequestLimits> limits;
  private final LongSupplier requestKeys;
  private final Deque<PipelinedRequest> pipelined = new ArrayDeque<>();
  private HttpRequest head;
  private CompositeByteBuf body;
  private Exchange current;
  private Future<?> timeout;
  private boolean closing;

  CallerConnection(
      HttpDialect dialect,
      CallerListener listener,
      Supplier<RequestLimits> limits,
      LongSupplier requestKeys) {
    this.dialect = dialect;
    this.listener = listener;
    this.limits = limits;
    this.requestKeys = requestKeys;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    scheduleTimeout(context, limits.get().idleTimeout().toMillis());
    context.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (closing) {
        return;
      }
      if (message instanceof HttpRequest request) {
        beginRequest(context, request);
      }
      if (message instanceof HttpContent content && head != null) {
        appendContent(context, content);
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
    pipelined.forEach(PipelinedRequest::release);
    pipelined.clear();
    if (current != null && !current.ended()) {
      Exchange unanswered = current;
      unanswered.endAfterDisconnect();
      listener.callerDisconnected(unanswered);
    }
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  /** Closes the connection once all of its requests are answered. */
  void closeWhenIdle(ChannelHandlerContext context) {
    if (current != null && !current.ended()) {
      current.closeAfterResponse();
    } else if (head == null && pipelined.isEmpty()) {
      closing = true;
      context.close();
    }
  }

  private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
    cancelTimeout();
    if (request.decoderResult().isFailure()) {
      rejectMalformed(context, request);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > limits.get().maximumBodyBytes()) {
      reject(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    head = request;
    body = context.alloc().compositeBuffer();
    scheduleTimeout(context, limits.get().headerTimeout().toMillis());
  }

  private void appendContent(ChannelHandlerContext context, HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(context, HttpResponseStatus.BAD_REQUEST, "malformed_body");
      return;
    }
    if (body.readableBytes() + content.content().readableBytes()
        > limits.get().maximumBodyBytes()) {
      reject(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    body.addComponent(true, content.content().retain());
    if (content instanceof LastHttpContent) {
      cancelTimeout();
      PipelinedRequest completeRequest = new PipelinedRequest(head, body);
      head = null;
      body = null;
      pipelined.add(completeRequest);
      startNext(context);
    }
  }

  private void startNext(ChannelHandlerContext context) {
    boolean busy = current != null && !current.ended();
    context.channel().config().setAutoRead(!busy || pipelined.size() < MAXIMUM_PIPELINED_REQUESTS);
    if (busy || pipelined.isEmpty()) {
      if (!busy && head == null) {
        scheduleTimeout(context, limits.get().idleTimeout().toMillis());
      }
      return;
    }
    cancelTimeout();
    PipelinedRequest completeRequest = pipelined.poll();
    boolean keepAlive = HttpUtil.isKeepAlive(completeRequest.head());
    try {
      current =
          new Exchange(
              context.channel(),
              completeRequest.head(),
              completeRequest.body(),
              dialect.readRequest(requestKeys.getAsLong(), completeRequest.head()),
              keepAlive,
              () -> startNext(context));
    } catch (InvalidRequestException exception) {
      completeRequest.release();
      reject(context, HttpResponseStatus.BAD_REQUEST, exception.getMessage());
      return;
    }
    if (!listener.requestReceived(current)) {
      current.closeAfterResponse();
      current.respond(
          HttpResponseStatus.SERVICE_UNAVAILABLE, EmptyHttpHeaders.INSTANCE, new byte[0]);
    }
  }

  private void rejectMalformed(ChannelHandlerContext context, HttpRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean tooLong = cause instanceof TooLongFrameException;
    reject(
        context,
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST,
        tooLong ? "head_too_large" : "malformed_head");
  }

  private void reject(ChannelHandlerContext context, HttpResponseStatus status, String reason) {
    closing = true;
    cancelTimeout();
    discardPartialRequest();
    listener.requestRejected(status.code(), reason);
    DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    boolean busy = current != null && !current.ended();
    if (busy) {
      response.release();
      current.closeAfterResponse();
      return;
    }
    context.writeAndFlush(response).addListener(written -> linger(context));
  }

  /**
   * Closes the connection after a delay during which incoming data is still read, so that the
   * caller can read the response.
   */
  private static void linger(ChannelHandlerContext context) {
    if (context.channel() instanceof SocketChannel channel) {
      channel.shutdownOutput();
    }
    context
        .executor()
        .schedule(() -> context.close(), LINGER_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  private void scheduleTimeout(ChannelHandlerContext context, long milliseconds) {
    cancelTimeout();
    timeout =
        context.executor().schedule(() -> timedOut(context), milliseconds, TimeUnit.MILLISECONDS);
  }

  private void timedOut(ChannelHandlerContext context) {
    if (head != null) {
      reject(context, HttpResponseStatus.REQUEST_TIMEOUT, "request_timeout");
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

  /** A complete request that is queued until the preceding response is complete. */
  private record PipelinedRequest(HttpRequest head, ByteBuf body) {

    void release() {
      body.release();
    }
  }
}
