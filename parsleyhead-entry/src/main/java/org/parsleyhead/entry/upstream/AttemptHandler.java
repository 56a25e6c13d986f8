package org.parsleyhead.entry.upstream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
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
 * Forwards the HTTP client's callbacks for one attempt to its relay, on the caller's event loop.
 *
 * <p>The library guarantees that only one thread at a time calls a handler.
 */
final class AttemptHandler implements AsyncHandler<Void> {

  private static final int FIRST_STATUS = 100;
  private static final int LAST_STATUS = 599;

  private final Exchange exchange;
  private final ResponseRelay relay;
  private final MonotonicClock clock;
  private final MonotonicTime writeBefore;
  private volatile boolean tooLate;
  private volatile boolean written;
  private int status;
  private boolean headPassed;

  AttemptHandler(
      Exchange exchange, ResponseRelay relay, MonotonicClock clock, MonotonicTime writeBefore) {
    this.exchange = exchange;
    this.relay = relay;
    this.clock = clock;
    this.writeBefore = writeBefore;
  }

  /** Called immediately before the write; an exception prevents the write. */
  @Override
  public void onRequestSend(NettyRequest request) {
    if (!clock.now().isBefore(writeBefore)) {
      tooLate = true;
      throw new UpstreamException("the write deadline of the request has passed");
    }
    written = true;
  }

  /** Reads the status; an exception ends the attempt and closes the connection. */
  @Override
  public State onStatusReceived(HttpResponseStatus received) {
    status = received.getStatusCode();
    if (status < FIRST_STATUS || status > LAST_STATUS) {
      throw new UpstreamException("the upstream sent an invalid status");
    }
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    passHead(headers.copy());
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    passHeadWithoutHeaders();
    byte[] bytes = part.getBodyPartBytes();
    if (bytes.length > 0) {
      exchange.execute(() -> relay.onPart(bytes));
    }
    return State.CONTINUE;
  }

  @Override
  public void onThrowable(Throwable cause) {
    FailureStage stage = stage();
    String reason = "the connection to the upstream failed: " + cause.getClass().getSimpleName();
    exchange.execute(() -> relay.onFailure(stage, reason));
  }

  /** Passes on a head without headers, of which the library does not call this handler. */
  private void passHeadWithoutHeaders() {
    if (!headPassed && status > 0) {
      passHead(new DefaultHttpHeaders());
    }
  }

  private void passHead(HttpHeaders headers) {
    headPassed = true;
    int receivedStatus = status;
    exchange.execute(() -> relay.onHead(receivedStatus, headers));
  }

  private FailureStage stage() {
    if (tooLate) {
      return FailureStage.TOO_LATE;
    }
    return written ? FailureStage.AFTER_WRITE : FailureStage.BEFORE_WRITE;
  }

  @Override
  public Void onCompleted() {
    passHeadWithoutHeaders();
    exchange.execute(relay::onEnd);
    return null;
  }
}
