package org.parsleyhead.standin.engine;

import java.time.Duration;
import java.util.Optional;

/** What an engine does. All effects are immutable. */
sealed interface EngineEffect {

  /** Refuses a request before it ran. */
  record Refuse(long exchange, int status, String type, String message, Optional<String> retryAfter)
      implements EngineEffect {}

  /** A request joined the batch. */
  record JoinedBatch(long exchange) implements EngineEffect {}

  /** A token was generated. */
  record Token(long exchange, int number) implements EngineEffect {}

  /** An answer is whole. */
  record Finished(long exchange, int tokens, boolean endsNaturally) implements EngineEffect {}

  /** A request left the batch before its answer was whole. */
  record Cancelled(long exchange, int nextToken, boolean resetsConnection)
      implements EngineEffect {}

  /** A request left the queue before any of it ran. */
  record Withdrawn(long exchange, boolean resetsConnection) implements EngineEffect {}

  /** An order was carried out. */
  record OrderSucceeded(long exchange, String message) implements EngineEffect {}

  /** An order broke a rule that the engine does not enforce. */
  record Violation(String kind, String adapter, Optional<Long> exchange) implements EngineEffect {}

  /** Fetches the weights of an adapter. */
  record FetchWeights(String adapter, String path) implements EngineEffect {}

  /** Asks for the event {@link EngineEvent.StepDue} after a duration. */
  record ScheduleStep(Duration delay) implements EngineEffect {}
}
