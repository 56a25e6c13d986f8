package org.parsleyhead.load.client;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.parsleyhead.load.result.Outcome;

/**
 * Passes the response to one request to its {@link RequestProgress} and reports the outcome.
 *
 * <p>Called by one thread at a time. Reports exactly one outcome, even if the HTTP client signals
 * both completion and failure.
 */
final class ResponseHandler implements AsyncHandler<Void> {

  private final RequestProgress progress;
  private final LongSupplier clock;
  private final Consumer<Outcome> outcomes;
  private int status;
  private boolean completed;

  ResponseHandler(RequestProgress progress, LongSupplier clock, Consumer<Outcome> outcomes) {
    this.progress = progress;
    this.clock = clock;
    this.outcomes = outcomes;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus responseStatus) {
    status = responseStatus.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    progress.receiveHead(status, headers.get("Content-Type"));
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    progress.receiveBody(part.getBodyPartBytes(), clock.getAsLong());
    return State.CONTINUE;
  }

  @Override
  public Void onCompleted() {
    complete(progress.completedOutcome(clock.getAsLong()));
    return null;
  }

  @Override
  public void onThrowable(Throwable cause) {
    complete(progress.failedOutcome(cause, clock.getAsLong()));
  }

  private synchronized void complete(Outcome outcome) {
    if (!completed) {
      completed = true;
      outcomes.accept(outcome);
    }
  }
}
