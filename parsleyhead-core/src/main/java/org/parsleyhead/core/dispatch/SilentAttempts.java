package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/**
 * Withdraws attempts whose servers are silent if another server can accept the request at once.
 *
 * <p>Immutable and thread-safe.
 */
final class SilentAttempts {

  /** Finds another server for a request. Implementations are pure. */
  @FunctionalInterface
  interface OtherPlacement {

    /**
     * Returns where a request would be placed; empty if it may not be sent elsewhere.
     *
     * @param state the state in which its evidence counts
     * @param active the request as it is
     * @param released the state without its load
     * @param unassigned the request without its silent attempt
     */
    Optional<Candidate> find(
        DispatchState state,
        ActiveRequest active,
        DispatchState released,
        ActiveRequest unassigned,
        MonotonicTime time);
  }

  private final RequestRetries retries;
  private final OtherPlacement placement;

  SilentAttempts(RequestRetries retries, OtherPlacement placement) {
    this.retries = retries;
    this.placement = placement;
  }

  /** Checks a request whose attempt has not answered by now. */
  Step<DispatchState, DispatchEffect> onWake(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    boolean silent = !active.progress().assignment().answering();
    if (!silent || !active.mayRunAgain()) {
      return RequestWakes.schedule(
          state,
          active.with(active.progress().withNextWake()),
          active.deadline().since(time),
          time);
    }
    DispatchState penalized = withSilentAttempt(state, active, time);
    ActiveRequest waking = active.with(active.progress().withNextWake());
    return (acceptedElsewhere(penalized, active, time)
            ? leave(penalized, waking, time)
            : Step.<DispatchState, DispatchEffect>of(penalized.withRequest(waking)))
        .andThen(
            before ->
                RequestWakes.schedule(
                    before,
                    before.requests().get(active.key()),
                    RequestTimeouts.nextSilenceCheckDelay(active, time),
                    time));
  }

  /** Leaves a server whose stream has become silent if another one can accept it at once. */
  Step<DispatchState, DispatchEffect> leaveSilentServer(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!active.mayRunAgain()) {
      return Step.of(state);
    }
    DispatchState penalized = withSilentAttempt(state, active, time);
    return acceptedElsewhere(penalized, active, time)
        ? leave(penalized, active, time)
        : Step.of(state);
  }

  /** Withdraws an attempt, with a retry in reserve for the next one. */
  private Step<DispatchState, DispatchEffect> leave(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    ActiveRequest leaving = active.with(active.progress().withRetryReserved(true));
    DispatchState charged = retries.charge(state, active, time);
    return Step.of(charged.withRequest(leaving), leaving.withdrawal("silent"));
  }

  private static DispatchState withSilentAttempt(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return state.withInstances(
        state
            .instances()
            .update(
                active.progress().instance().orElseThrow(),
                view -> view.withHealth(view.health().failed(time, true))));
  }

  /**
   * Returns whether another server can accept a request without a load. Otherwise the request stays
   * with its silent server, which may still respond.
   */
  private boolean acceptedElsewhere(DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!retries.allows(state, active, time)) {
      return false;
    }
    DispatchState released = RequestCompletion.withoutAddedLoad(state, active);
    String silent = active.progress().instance().orElseThrow();
    ActiveRequest unassigned =
        active.with(
            active.progress().withAttemptEnded(active.progress().history().withExcluded(silent)));
    return placement
        .find(state, active, released, unassigned, time)
        .filter(other -> other.loadRequirement() == Candidate.LoadRequirement.NONE)
        .isPresent();
  }
}
