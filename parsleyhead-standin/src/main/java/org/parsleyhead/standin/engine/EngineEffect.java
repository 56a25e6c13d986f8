package org.parsleyhead.standin.engine;

import java.time.Duration;
import java.util.Optional;

/** An effect of an engine transition. All effects are immutable. */
sealed interface EngineEffect {

  /** Refuses a completion or an order that did not run. */
  record Refuse(long exchange, int status, String type, String message, Optional<String> retryAfter)
      implements EngineEffect {}

  /** A request was added to the batch. */
  record JoinedBatch(long exchange) implements EngineEffect {}

  /** A token was generated. */
  record Token(long exchange, int number) implements EngineEffect {}

  /** A completion is complete; {@code endsNaturally} if it stopped before its maximum length. */
  record Finished(long exchange, int tokens, boolean endsNaturally) implements EngineEffect {}

  /** A request was removed from the batch before its completion was complete. */
  record Cancelled(long exchange, int nextToken, boolean resetsConnection)
      implements EngineEffect {}

  /** A request was removed from the queue before any token was generated. */
  record Withdrawn(long exchange, boolean resetsConnection) implements EngineEffect {}

  /** An adapter order was carried out. */
  record OrderSucceeded(long exchange, String message) implements EngineEffect {}

  /** An adapter order broke a rule that the engine does not enforce. */
  record Violation(String kind, String adapter, Optional<Long> exchange) implements EngineEffect {}

  /** Fetches the weights of an adapter. */
  record FetchWeights(String adapter, String path) implements EngineEffect {}

  /** Requests the event {@link EngineEvent.StepDue} after a delay. */
  record ScheduleStep(Duration delay) implements EngineEffect {}
}
