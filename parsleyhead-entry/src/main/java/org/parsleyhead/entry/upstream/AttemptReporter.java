package org.parsleyhead.entry.upstream;

import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.request.FailureStage;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.entry.callers.Exchange;

/**
 * Reports the events of one attempt to a listener. At most one terminal event is reported.
 *
 * <p>Mutable. Confined to the event loop of the caller's channel.
 */
final class AttemptReporter {

  private final Exchange exchange;
  private final int attempt;
  private final AttemptListener listener;
  private final Runnable disconnect;
  private boolean completed;
  private boolean startReported;

  AttemptReporter(Exchange exchange, int attempt, AttemptListener listener, Runnable disconnect) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.listener = listener;
    this.disconnect = disconnect;
  }

  /** Returns whether the attempt has not completed and is the current attempt of its exchange. */
  boolean isActive() {
    return !completed && exchange.isCurrent(attempt);
  }

  void started() {
    if (!startReported) {
      startReported = true;
      listener.accept(new RequestEvent.AnswerStarted(identifier(), attempt));
    }
  }

  void finished(long tokens) {
    if (!completed) {
      completed = true;
      listener.accept(new RequestEvent.AnswerFinished(identifier(), attempt, tokens));
    }
  }

  void failed(FailureStage stage, String reason) {
    if (!completed) {
      completed = true;
      FailureStage reached = exchange.isResponseStarted() ? FailureStage.DURING_ANSWER : stage;
      listener.accept(
          new RequestEvent.AttemptFailed(
              identifier(), attempt, reached, exchange.tokensSent(), reason));
      disconnect.run();
    }
  }

  /** Reports that the caller read the response too slowly, and closes the upstream connection. */
  void callerTooSlow() {
    if (!completed) {
      completed = true;
      listener.accept(new RequestEvent.CallerDisconnected(identifier(), exchange.tokensSent()));
      disconnect.run();
    }
  }

  private RequestIdentifier identifier() {
    return exchange.request().description().identifier();
  }
}
