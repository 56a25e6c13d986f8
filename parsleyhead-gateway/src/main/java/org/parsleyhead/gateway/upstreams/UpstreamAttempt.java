package org.parsleyhead.gateway.upstreams;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.gateway.api.AnswerHead;
import org.parsleyhead.gateway.api.CallerDialect;
import org.parsleyhead.gateway.callers.Exchange;
import org.parsleyhead.runtime.log.EventLog;

/**
 * One send of a request and the answer to it.
 *
 * <p>Confined to the event loop. Ends exactly once. An answer to another request, or one with bytes
 * behind its end, ends the connection; only a whole answer to this request reaches the caller as a
 * whole one.
 */
final class UpstreamAttempt extends ChannelInboundHandlerAdapter {

  private static final EventLog LOG = new EventLog("upstreams");

  /** Longest whole answer that is held, in bytes. */
  private static final int LARGEST_ANSWER_BYTES = 8 << 20;

  /** Idle time of connections whose server announces none. */
  private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofSeconds(3);

  /** Silence after which a stream that may be resumed is taken to be broken. */
  private static final Duration STREAM_SILENCE = Duration.ofMillis(1_200);

  private final DispatchEffect.Send send;
  private final Exchange exchange;
  private final CallerDialect dialect;
  private final AttemptListener listener;
  private final IdleConnections idle;
  private final BiConsumer<UpstreamAttempt, AttemptResult> whenEnded;
  private final EventSplitter events = new EventSplitter();
  private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private Channel channel;
  private HttpResponse response;
  private AnswerHead answer;
  private boolean foreign;
  private boolean reset;
  private boolean cancelled;
  private boolean ended;
  private boolean begun;
  private boolean reusable = true;
  private long lastEventAt;
  private Future<?> silenceTimer;

  UpstreamAttempt(
      DispatchEffect.Send send,
      Exchange exchange,
      CallerDialect dialect,
      AttemptListener listener,
      IdleConnections idle,
      BiConsumer<UpstreamAttempt, AttemptResult> whenEnded) {
    this.send = send;
    this.exchange = exchange;
    this.dialect = dialect;
    this.listener = listener;
    this.idle = idle;
    this.whenEnded = whenEnded;
  }

  long requestKey() {
    return send.request().key();
  }

  int number() {
    return send.attempt();
  }

  /** Writes a line about this send. */
  void log(String event, Object... keysAndValues) {
    List<Object> line =
        new ArrayList<>(
            List.of(
                "request",
                send.request().identifier(),
                "attempt",
                send.attempt(),
                "instance",
                send.instance().identifier()));
    line.addAll(List.of(keysAndValues));
    LOG.request(event, line.toArray());
  }

  /** Writes the request on a connection. */
  void write(Channel connected) {
    channel = connected;
    if (cancelled || exchange.ended()) {
      idle.put(send.instance(), connected, DEFAULT_IDLE_LIMIT);
      connected.pipeline().addLast(new IdleGuard(send.instance(), idle));
      end(UpstreamClient.notSent("caller_left"));
      return;
    }
    IdleGuard.removeFrom(connected);
    connected.pipeline().addLast(this);
    HttpRequest head = exchange.head();
    HttpHeaders headers = dialect.upstreamHeaders(head, send, exchange.lastEvent());
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            head.method(),
            head.uri(),
            exchange.body(),
            headers,
            EmptyHttpHeaders.INSTANCE);
    headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
    int length = request.content().readableBytes();
    if (length > 0 || !MessageHeads.bodyless(head)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    connected.writeAndFlush(request, connected.voidPromise());
  }

  void failedToConnect(Throwable cause) {
    end(UpstreamClient.notSent("connect: " + cause.getClass().getSimpleName()));
  }

  /** Closes the connection; nothing more is passed on. */
  void cancel() {
    cancelled = true;
    ended = true;
    stopTimer();
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (ended) {
        reusable = false;
        context.close();
        return;
      }
      if (message instanceof HttpResponse head) {
        readHead(head);
      }
      if (!ended && message instanceof HttpContent content) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (ended && !cancelled && context.channel().isActive()) {
      context.pipeline().remove(this);
      if (reusable) {
        context.pipeline().addLast(new IdleGuard(send.instance(), idle));
        idle.put(
            send.instance(),
            context.channel(),
            MessageHeads.idleLimit(response).orElse(DEFAULT_IDLE_LIMIT));
      } else {
        context.close();
      }
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    reset = true;
    broken("connection: " + cause.getClass().getSimpleName());
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    broken("connection_closed");
  }

  private void readHead(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      broken("not_http");
      return;
    }
    if (head.status().code() < 200) {
      foreign = true;
      return;
    }
    AnswerHead read = dialect.readAnswer(head);
    boolean named = read.requestIdentifier().isPresent();
    boolean ours =
        named
            ? read.requestIdentifier().get().equals(send.request().identifier())
            : !Exchange.success(head.status());
    boolean unsignedSuccess = Exchange.success(head.status()) && !read.signed();
    foreign = !ours || unsignedSuccess;
    if (foreign) {
      reusable = false;
      return;
    }
    response = head;
    answer = read;
    boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    reusable &= HttpUtil.isKeepAlive(head) && framed;
  }

  private void readContent(HttpContent content) {
    final boolean last = content instanceof LastHttpContent;
    if (foreign || response == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      broken("malformed_body");
      return;
    }
    byte[] bytes = new byte[content.content().readableBytes()];
    content.content().readBytes(bytes);
    if (send.stream() && Exchange.success(response.status())) {
      passEvents(bytes);
    } else if (whole.size() + bytes.length > LARGEST_ANSWER_BYTES) {
      broken("answer_too_large");
      return;
    } else {
      whole.writeBytes(bytes);
    }
    if (last && !ended) {
      lastContent();
    }
  }

  private void passEvents(byte[] bytes) {
    byte[] complete = events.take(bytes);
    if (complete.length == 0) {
      return;
    }
    lastEventAt = System.nanoTime();
    if (!begun) {
      begun = true;
      listener.accept(new DispatchEvent.ResponseStarted(requestKey(), number()));
      log("first_event");
      startSilenceTimer();
    }
    exchange.beginStream(response.status(), dialect.callerHeaders(response));
    exchange.passEvents(Unpooled.wrappedBuffer(complete), events.lastIdentifier());
    Channel source = channel;
    if (!exchange.writable(() -> source.config().setAutoRead(true))) {
      source.config().setAutoRead(false);
    }
  }

  private void lastContent() {
    if (reset) {
      broken("connection_reset");
      return;
    }
    if (!Exchange.success(response.status())) {
      failed();
      return;
    }
    if (!send.stream()) {
      exchange.answer(response.status(), dialect.callerHeaders(response), whole.toByteArray());
      end(result(AttemptOutcome.COMPLETED, "answered"));
      return;
    }
    if (events.partial()) {
      broken("event_cut_off");
      return;
    }
    exchange.beginStream(response.status(), dialect.callerHeaders(response));
    exchange.endStream();
    end(result(AttemptOutcome.COMPLETED, "streamed"));
  }

  private void failed() {
    exchange.hold(response.status(), dialect.callerHeaders(response), whole.toByteArray());
    if (answer.misdirected()) {
      end(result(AttemptOutcome.MISDIRECTED, "misdirected"));
    } else if (answer.notRun()) {
      end(result(AttemptOutcome.NO_ROOM, "not_run"));
    } else {
      end(result(AttemptOutcome.FAILED, "status"));
    }
  }

  private void broken(String reason) {
    reusable = false;
    end(
        new AttemptResult(
            AttemptOutcome.BROKEN,
            response == null ? 0 : response.status().code(),
            begun || exchange.begun(),
            false,
            reason));
    if (channel != null) {
      channel.close();
    }
  }

  private AttemptResult result(AttemptOutcome outcome, String reason) {
    return new AttemptResult(
        outcome,
        response.status().code(),
        begun || exchange.begun(),
        outcome != AttemptOutcome.COMPLETED,
        reason);
  }

  private void end(AttemptResult result) {
    if (ended) {
      return;
    }
    ended = true;
    stopTimer();
    whenEnded.accept(this, result);
  }

  private void startSilenceTimer() {
    if (send.repeatable()) {
      scheduleSilenceCheck(STREAM_SILENCE.toNanos());
    }
  }

  private void scheduleSilenceCheck(long nanoseconds) {
    silenceTimer =
        channel
            .eventLoop()
            .schedule(
                () -> {
                  long left = lastEventAt + STREAM_SILENCE.toNanos() - System.nanoTime();
                  if (ended) {
                    return;
                  }
                  if (left <= 0) {
                    broken("silent");
                  } else {
                    scheduleSilenceCheck(left);
                  }
                },
                nanoseconds,
                TimeUnit.NANOSECONDS);
  }

  private void stopTimer() {
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
    }
  }
}
