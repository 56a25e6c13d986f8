package org.parsleyhead.standin.engine;

import java.util.Optional;
import org.parsleyhead.standin.ModeChange;

/** What happens to an engine. All events are immutable. */
sealed interface EngineEvent {

  /** A completion is asked for. */
  record Submit(long exchange, CompletionRequest request) implements EngineEvent {}

  /** The connection of a caller closed. */
  record ConnectionClosed(long exchange) implements EngineEvent {}

  /** An order to load an adapter. */
  record Load(long exchange, String adapter, String path, Optional<Long> fencingNumber)
      implements EngineEvent {}

  /** An order to unload an adapter. */
  record Unload(long exchange, String adapter, Optional<Long> fencingNumber)
      implements EngineEvent {}

  /** The weights of an adapter have arrived, or not. */
  record WeightsFetched(String adapter, FetchOutcome outcome) implements EngineEvent {}

  /** A step may be over. */
  record StepDue() implements EngineEvent {}

  /** Time has passed. */
  record Tick() implements EngineEvent {}

  /** The way of answering changes. */
  record ModeChanged(ModeChange change) implements EngineEvent {}

  /** The engine restarts: adapters, requests and caches are gone. */
  record Restart() implements EngineEvent {}
}
