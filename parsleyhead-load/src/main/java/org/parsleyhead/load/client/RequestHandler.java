package org.parsleyhead.load.client;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.parsleyhead.load.result.Outcome;

/**
 * Hands what is received for one request to its progress, and the outcome on.
 *
 * <p>Called by one thread at a time. There is exactly one outcome.
 */
final class RequestHandler implements AsyncHandler<Void> {

  private final RequestProgress progress;
  private final LongSupplier clock;
  private final Consumer<Outcome> outcomes;
  private int status;
  private boolean ended;

  RequestHandler(RequestProgress progress, LongSupplier clock, Consumer<Outcome> outcomes) {
    this.progress = progress;
    this.clock = clock;
    this.outcomes = outcomes;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus answerStatus) {
    status = answerStatus.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    progress.head(status, headers.get("Content-Type"));
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    progress.bytes(part.getBodyPartBytes(), clock.getAsLong());
    return State.CONTINUE;
  }

  @Override
  public Void onCompleted() {
    end(progress.completed(clock.getAsLong()));
    return null;
  }

  @Override
  public void onThrowable(Throwable cause) {
    end(progress.failed(cause, clock.getAsLong()));
  }

  private synchronized void end(Outcome outcome) {
    if (!ended) {
      ended = true;
      outcomes.accept(outcome);
    }
  }
}
