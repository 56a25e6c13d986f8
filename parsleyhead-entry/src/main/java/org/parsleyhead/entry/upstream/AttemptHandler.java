package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.request.FailureStage;
import org.parsleyhead.entry.callers.Exchange;
import org.parsleyhead.runtime.duty.MonotonicClock;

/**
 * Hands what the HTTP client tells of one attempt to its relay, on the caller's event loop.
 *
 * <p>Called by one thread at a time, as the library promises.
 */
final class AttemptHandler implements AsyncHandler<Void> {

  private final Exchange exchange;
  private final AnswerRelay relay;
  private final MonotonicClock clock;
  private final MonotonicTime writeBefore;
  private volatile boolean tooLate;
  private volatile boolean written;
  private int status;

  AttemptHandler(
      Exchange exchange, AnswerRelay relay, MonotonicClock clock, MonotonicTime writeBefore) {
    this.exchange = exchange;
    this.relay = relay;
    this.clock = clock;
    this.writeBefore = writeBefore;
  }

  /** Runs right before the write; an exception here keeps the request from being written. */
  @Override
  public void onRequestSend(NettyRequest request) {
    if (!clock.now().isBefore(writeBefore)) {
      tooLate = true;
      throw new UpstreamException("the time until which the request might be written has passed");
    }
    written = true;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus received) {
    status = received.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    int receivedStatus = status;
    HttpHeaders copy = headers.copy();
    exchange.execute(() -> relay.head(receivedStatus, copy));
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    byte[] bytes = part.getBodyPartBytes();
    if (bytes.length > 0) {
      exchange.execute(() -> relay.part(bytes));
    }
    return State.CONTINUE;
  }

  @Override
  public void onThrowable(Throwable cause) {
    FailureStage stage = stage();
    String reason = "the connection to the upstream failed: " + cause.getClass().getSimpleName();
    exchange.execute(() -> relay.failed(stage, reason));
  }

  private FailureStage stage() {
    if (tooLate) {
      return FailureStage.TOO_LATE;
    }
    return written ? FailureStage.AFTER_WRITE : FailureStage.BEFORE_WRITE;
  }

  @Override
  public Void onCompleted() {
    exchange.execute(relay::end);
    return null;
  }
}
