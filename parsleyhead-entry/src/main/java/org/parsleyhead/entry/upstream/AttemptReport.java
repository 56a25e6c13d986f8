package org.parsleyhead.entry.upstream;

import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.request.FailureStage;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.entry.callers.Exchange;

/**
 * Reports the fate of one attempt, at most once.
 *
 * <p>Confined to the event loop of the caller's channel.
 */
final class AttemptReport {

  private final Exchange exchange;
  private final int attempt;
  private final AttemptListener listener;
  private final Runnable disconnect;
  private boolean concluded;
  private boolean started;

  AttemptReport(Exchange exchange, int attempt, AttemptListener listener, Runnable disconnect) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.listener = listener;
    this.disconnect = disconnect;
  }

  /** Tells whether parts of the attempt still count. */
  boolean isOpen() {
    return !concluded && exchange.isCurrent(attempt);
  }

  void started() {
    if (!started) {
      started = true;
      listener.accept(new RequestEvent.AnswerStarted(identifier(), attempt));
    }
  }

  void finished(long tokens) {
    if (!concluded) {
      concluded = true;
      listener.accept(new RequestEvent.AnswerFinished(identifier(), attempt, tokens));
    }
  }

  void failed(FailureStage stage, String reason) {
    if (!concluded) {
      concluded = true;
      FailureStage reached = exchange.hasBegun() ? FailureStage.DURING_ANSWER : stage;
      listener.accept(
          new RequestEvent.AttemptFailed(
              identifier(), attempt, reached, exchange.tokensPassed(), reason));
      disconnect.run();
    }
  }

  /** The caller did not take the answer fast enough. */
  void callerTooSlow() {
    if (!concluded) {
      concluded = true;
      listener.accept(new RequestEvent.CallerDisconnected(identifier(), exchange.tokensPassed()));
      disconnect.run();
    }
  }

  private RequestIdentifier identifier() {
    return exchange.request().description().identifier();
  }
}
