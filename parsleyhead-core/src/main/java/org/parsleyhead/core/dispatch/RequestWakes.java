package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/** Schedules the wake events of active requests. Stateless and thread-safe. */
final class RequestWakes {

  private RequestWakes() {}

  /**
   * Stores a request and schedules its newest wake event, at its deadline at the latest.
   *
   * @param delay the time until the event, which may lie beyond the deadline
   */
  static Step<DispatchState, DispatchEffect> schedule(
      DispatchState state, ActiveRequest active, Duration delay, MonotonicTime time) {
    Duration untilDeadline = active.deadline().since(time);
    Duration shorter = delay.compareTo(untilDeadline) < 0 ? delay : untilDeadline;
    return Step.of(
        state.withRequest(active),
        new DispatchEffect.WakeAfter(active.key(), active.progress().wakeNumber(), shorter));
  }
}
