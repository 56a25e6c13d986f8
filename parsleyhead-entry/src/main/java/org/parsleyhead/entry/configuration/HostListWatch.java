package org.parsleyhead.entry.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.membership.RandomNumbers;

/**
 * Decides when to call the watch of the host list and which lists to pass on.
 *
 * <p>There is one call at a time; a call without a result counts as lost after the call timeout.
 * After a failure the next call waits for an exponential delay with jitter. A list that is not
 * newer than the current one counts as a failure and is not passed on.
 *
 * <p>Stateless apart from its settings and thread-safe.
 */
final class HostListWatch
    implements Transition<HostListWatch.State, HostListEvent, HostListEffect> {

  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(250);
  private static final int MAXIMUM_DOUBLINGS = 5;

  private final Duration callTimeout;

  /**
   * Creates the transition.
   *
   * @param callTimeout after what time a call without a result counts as lost
   */
  HostListWatch(Duration callTimeout) {
    this.callTimeout = callTimeout;
  }

  @Override
  public Step<State, HostListEffect> apply(State state, HostListEvent event, MonotonicTime time) {
    List<HostListEffect> effects = new ArrayList<>();
    State current = update(state, event, time, effects);
    boolean lost =
        current.watchingSince().isPresent()
            && time.since(current.watchingSince().get()).compareTo(callTimeout) > 0;
    boolean idle = current.watchingSince().isEmpty() || lost;
    if (idle && !time.isBefore(current.notBefore())) {
      effects.add(new HostListEffect.Watch(current.version()));
      current =
          new State(
              current.version(),
              Optional.of(time),
              current.failures(),
              current.notBefore(),
              current.randomNumber());
    }
    return new Step<>(current, effects);
  }

  private static State update(
      State state, HostListEvent event, MonotonicTime time, List<HostListEffect> effects) {
    if (event instanceof HostListEvent.Tick tick) {
      return new State(
          state.version(),
          state.watchingSince(),
          state.failures(),
          state.notBefore(),
          tick.randomNumber());
    }
    if (event instanceof HostListEvent.ListRead read && read.list().version() > state.version()) {
      effects.add(new HostListEffect.ListChanged(read.list()));
      return new State(read.list().version(), Optional.empty(), 0, time, state.randomNumber());
    }
    if (event instanceof HostListEvent.Unchanged) {
      return new State(state.version(), Optional.empty(), 0, time, state.randomNumber());
    }
    int failures = Math.min(state.failures() + 1, MAXIMUM_DOUBLINGS);
    long delay = FIRST_RETRY_DELAY.toNanos() << failures;
    long jitter = Math.floorMod(RandomNumbers.derive(state.randomNumber(), failures), delay);
    MonotonicTime next = time.plus(Duration.ofNanos(delay / 2 + jitter / 2));
    return new State(state.version(), Optional.empty(), failures, next, state.randomNumber());
  }

  /**
   * The progress of the watch.
   *
   * <p>Immutable and thread-safe.
   *
   * @param version the version of the latest list, zero for none
   * @param watchingSince when the call in flight was started
   * @param failures the number of consecutive failed calls, capped
   * @param notBefore the earliest time of the next call
   * @param randomNumber the random number of the last tick, from which delays are derived
   */
  record State(
      long version,
      Optional<MonotonicTime> watchingSince,
      int failures,
      MonotonicTime notBefore,
      long randomNumber) {

    static State initial(MonotonicTime time) {
      return new State(0, Optional.empty(), 0, time, 0);
    }
  }
}
