package org.parsleyhead.standin.engine;

import java.util.Optional;
import org.parsleyhead.standin.ModeChange;

/** An event that an engine handles. All events are immutable. */
sealed interface EngineEvent {

  /** A completion was requested. */
  record Submit(long exchange, CompletionRequest request) implements EngineEvent {}

  /** The connection of the caller closed. */
  record ConnectionClosed(long exchange) implements EngineEvent {}

  /** An order to load an adapter was received. */
  record Load(long exchange, String adapter, String path, Optional<Long> fencingNumber)
      implements EngineEvent {}

  /** An order to unload an adapter was received. */
  record Unload(long exchange, String adapter, Optional<Long> fencingNumber)
      implements EngineEvent {}

  /** The fetch of the weights of an adapter succeeded or failed. */
  record WeightsFetched(String adapter, FetchOutcome outcome) implements EngineEvent {}

  /** The end of a step may have been reached. */
  record StepDue() implements EngineEvent {}

  /** The periodic timer fired. */
  record Tick() implements EngineEvent {}

  /** The service mode changed. */
  record ModeChanged(ModeChange change) implements EngineEvent {}

  /** The engine restarts and loses its adapters, requests and caches. */
  record Restart() implements EngineEvent {}
}
