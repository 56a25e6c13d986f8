package org.parsleyhead.gateway.upstreams;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.parsleyhead.core.dispatch.AttemptResult;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.ReportedLoad;
import org.parsleyhead.core.dispatch.ResponseStage;
import org.parsleyhead.gateway.api.HttpDialect;
import org.parsleyhead.gateway.api.ResponseHead;
import org.parsleyhead.gateway.callers.Exchange;

/**
 * One attempt to send a request to an instance, and the response to it.
 *
 * <p>Confined to the event loop. Ends exactly once. A response to another request, or one that is
 * followed by further bytes, closes the connection; the caller receives a response as complete only
 * if it is a complete response to this request.
 */
final class UpstreamAttempt extends ChannelInboundHandlerAdapter {

  /** The maximum size of a response that is buffered as a whole. */
  private static final int MAXIMUM_BUFFERED_RESPONSE_BYTES = 8 << 20;

  /** Applies to connections whose server announces no keep-alive timeout. */
  private static final Duration DEFAULT_KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(3);

  private final DispatchEffect.Send send;
  private final Exchange exchange;
  private final HttpDialect dialect;
  private final AttemptListener listener;
  private final IdleConnectionPool idlePool;
  private final ResponseMemory responseMemory;
  private final BiConsumer<UpstreamAttempt, AttemptResult> onEnd;
  private final EventStream stream;
  private final AttemptLog log;
  private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
  private UpstreamConnection connection;
  private HttpResponse response;
  private ResponseHead responseHead;
  private Optional<ReportedLoad> reportedLoad = Optional.empty();
  private long headReceivedAt;
  private boolean ignoringResponse;
  private boolean connectionFailed;
  private boolean cancelled;
  private boolean ended;
  private boolean reusable = true;
  private boolean reusedConnection;

  UpstreamAttempt(
      DispatchEffect.Send send,
      Exchange exchange,
      HttpDialect dialect,
      AttemptListener listener,
      IdleConnectionPool idlePool,
      ResponseMemory responseMemory,
      BiConsumer<UpstreamAttempt, AttemptResult> onEnd) {
    this.send = send;
    this.exchange = exchange;
    this.dialect = dialect;
    this.listener = listener;
    this.idlePool = idlePool;
    this.responseMemory = responseMemory;
    this.onEnd = onEnd;
    this.log = new AttemptLog(send);
    this.stream = new EventStream(this::reportSilence, responseMemory::callerReads, log);
  }

  long requestKey() {
    return send.request().key();
  }

  int attemptNumber() {
    return send.attempt();
  }

  AttemptLog log() {
    return log;
  }

  /**
   * Returns the load that the response reports, with its age; empty if it reports none or the load
   * was taken before. The load of a misdirected response may be that of another instance.
   */
  Optional<ReportedLoad> takeReportedLoad() {
    Optional<ReportedLoad> taken =
        reportedLoad.map(
            load -> load.withAge(Duration.ofNanos(System.nanoTime() - headReceivedAt)));
    reportedLoad = Optional.empty();
    return taken;
  }

  /** Writes the request to a connection. */
  void write(UpstreamConnection connected) {
    connection = connected;
    log.connected(connected);
    reusedConnection = connected.hasCarriedRequest();
    Channel channel = connected.channel();
    stream.connected(channel);
    if (cancelled || exchange.ended()) {
      idlePool.release(send.instance(), connected, DEFAULT_KEEP_ALIVE_TIMEOUT);
      channel.pipeline().addLast(new IdleConnectionHandler(send.instance(), connected, idlePool));
      endUnsent("caller_left");
      return;
    }
    HttpHeaders headers = dialect.upstreamHeaders(exchange.head(), send, exchange.lastEvent());
    connected.attach(this, send.request().identifier(), exchange.head().method());
    channel.writeAndFlush(
        MessageHeads.request(exchange.head(), exchange.body(), headers), channel.voidPromise());
  }

  /** Returns whether the request was written to a connection. */
  boolean written() {
    return connection != null;
  }

  /** Ends the attempt before anything of the request was written. */
  void endUnsent(String reason) {
    end(AttemptResults.unsent(reason));
  }

  /**
   * Returns whether the server is silent: has sent no event yet or, if the attempt was known to
   * have begun to answer, has sent none for some time. A plain response is silent until its end.
   */
  boolean silent(boolean answering) {
    return answering ? stream.silent() : stream.awaitsFirstEvent();
  }

  /** Closes the connection; nothing more is forwarded. */
  void cancel() {
    cancelled = true;
    ended = true;
    releaseResources();
    closeConnection();
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
      if (reusable) {
        connection.detach(this, new IdleConnectionHandler(send.instance(), connection, idlePool));
        idlePool.release(
            send.instance(),
            connection,
            MessageHeads.keepAliveTimeout(response).orElse(DEFAULT_KEEP_ALIVE_TIMEOUT));
      } else {
        context.close();
      }
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    connectionFailed = true;
    endLost("connection: " + cause.getClass().getSimpleName());
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    endLost("connection_closed");
  }

  private void readHead(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      endBroken("not_http");
      return;
    }
    if (head.status().code() < 200) {
      ignoringResponse = true;
      return;
    }
    ResponseHead parsed = dialect.readResponse(head);
    ResponseMatch match =
        ResponseMatch.of(
            head, parsed, exchange.head().method(), send.request().identifier(), reusedConnection);
    ignoringResponse = match != ResponseMatch.ANSWER;
    if (ignoringResponse) {
      ignore(head, parsed);
      if (match == ResponseMatch.UNATTRIBUTABLE) {
        endBroken("unattributable_response");
      }
      return;
    }
    UnansweredByteLimit.responseStarted(connection.channel());
    response = head;
    responseHead = parsed;
    headReceivedAt = System.nanoTime();
    reportedLoad = parsed.misdirected() ? Optional.empty() : parsed.load();
    if (parsed.hasNotice()) {
      listener.accept(
          new DispatchEvent.InstanceNotice(
              send.instance(), parsed.leaving(), parsed.refusesFor(), parsed.coldFor()));
    }
    reusable &=
        HttpUtil.isKeepAlive(head)
            && MessageHeads.framed(head)
            && !exchange.head().method().equals(HttpMethod.HEAD);
  }

  /** Logs the first response that is ignored; a server may send any number of them. */
  private void ignore(HttpResponse head, ResponseHead parsed) {
    connection.responseIgnored();
    if (reusable) {
      reusable = false;
      log.event(
          "response_ignored",
          "identifier",
          parsed.requestIdentifier().orElse("-"),
          "status",
          head.status().code(),
          "stamped",
          parsed.stamped());
    }
  }

  private void readContent(HttpContent content) {
    final boolean last = content instanceof LastHttpContent;
    if (ignoringResponse || response == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      endBroken("malformed_body");
      return;
    }
    byte[] bytes = new byte[content.content().readableBytes()];
    content.content().readBytes(bytes);
    if (send.stream() && Exchange.isSuccess(response.status())) {
      forwardEvents(bytes);
    } else {
      bufferBody(bytes);
    }
    if (last && !ended) {
      responseComplete();
    }
  }

  private void bufferBody(byte[] bytes) {
    if (bufferedBody.size() + bytes.length > MAXIMUM_BUFFERED_RESPONSE_BYTES) {
      endBroken("response_too_large");
      return;
    }
    bufferedBody.writeBytes(bytes);
    endLargest(responseMemory.update(this, bufferedBody.size()));
  }

  private static void endLargest(Optional<UpstreamAttempt> largest) {
    largest.ifPresent(attempt -> attempt.endBroken("response_memory_full"));
  }

  private void forwardEvents(byte[] bytes) {
    byte[] complete = stream.receive(bytes);
    if (stream.eventTooLarge()) {
      endBroken("event_too_large");
      return;
    }
    if (complete.length == 0) {
      recordPendingBytes(false);
      return;
    }
    if (!stream.started()) {
      listener.accept(
          new DispatchEvent.ResponseStarted(requestKey(), attemptNumber(), takeReportedLoad()));
      log.event("first_event");
    }
    startStream();
    stream.forward(complete, exchange, send.repeatable());
    recordPendingBytes(true);
  }

  /** Starts the response to the caller; its headers are copied once, not for each event. */
  private void startStream() {
    if (!exchange.responseStarted()) {
      exchange.startStream(response.status(), dialect.callerHeaders(response));
    }
  }

  private void recordPendingBytes(boolean eventEnded) {
    endLargest(
        exchange.responseStarted()
            ? responseMemory.updateStream(this, stream, eventEnded)
            : responseMemory.update(this, stream.pendingBytes()));
  }

  private void responseComplete() {
    if (connectionFailed) {
      endLost("connection_reset");
      return;
    }
    if (!Exchange.isSuccess(response.status())) {
      endWithErrorResponse();
      return;
    }
    if (!send.stream()) {
      exchange.respond(
          response.status(), dialect.callerHeaders(response), bufferedBody.toByteArray());
      log.event("answered", "status", response.status().code());
      end(AttemptResults.completed(response, begun(), "answered"));
      return;
    }
    if (stream.pendingBytes() > 0) {
      endLost("event_cut_off");
      return;
    }
    if (!stream.started() && !MessageHeads.framed(response)) {
      endLost("stream_without_event");
      return;
    }
    startStream();
    exchange.endStream();
    end(AttemptResults.completed(response, begun(), "streamed"));
  }

  private void endWithErrorResponse() {
    exchange.bufferResponse(
        response.status(), dialect.callerHeaders(response), bufferedBody.toByteArray());
    end(AttemptResults.error(responseHead, response, begun()));
  }

  private void endBroken(String reason) {
    breakOff(Optional.empty(), reason);
  }

  /** Ends the attempt because its connection is lost. */
  private void endLost(String reason) {
    ResponseStage received = response == null ? ResponseStage.NONE : ResponseStage.HEAD;
    boolean content = stream.started() || bufferedBody.size() > 0;
    breakOff(Optional.of(content ? ResponseStage.CONTENT : received), reason);
  }

  private void breakOff(Optional<ResponseStage> lostAt, String reason) {
    reusable = false;
    end(AttemptResults.broken(Optional.ofNullable(response), begun(), lostAt, reason));
    closeConnection();
  }

  private void closeConnection() {
    if (connection != null) {
      connection.channel().close();
    }
  }

  /** Returns whether the caller has a part of the answer. */
  private boolean begun() {
    return stream.started() || exchange.responseStarted();
  }

  private void end(AttemptResult result) {
    if (ended) {
      return;
    }
    ended = true;
    releaseResources();
    onEnd.accept(this, result);
  }

  private void reportSilence() {
    listener.accept(new DispatchEvent.StreamSilent(requestKey(), attemptNumber()));
  }

  private void releaseResources() {
    stream.stop();
    responseMemory.release(this, stream);
  }
}
