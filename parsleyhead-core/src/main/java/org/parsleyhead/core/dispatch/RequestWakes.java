package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.Step;

/** Schedules the wake events of active requests. Stateless and thread-safe. */
final class RequestWakes {

  private RequestWakes() {}

  /** Stores a request and schedules its newest wake event. */
  static Step<DispatchState, DispatchEffect> schedule(
      DispatchState state, ActiveRequest active, Duration delay) {
    return Step.of(
        state.withRequest(active),
        new DispatchEffect.WakeAfter(active.key(), active.progress().wakeNumber(), delay));
  }
}
