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
 * Decides when the host list is watched: always one call at a time, after failures with growing and
 * random delays.
 *
 * <p>Stateless apart from its settings and thread-safe. A list that is not newer is not handed on.
 */
final class HostListWatch
    implements Transition<HostListWatch.State, HostListEvent, HostListEffect> {

  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(250);
  private static final int MAXIMUM_DOUBLINGS = 5;

  private final Duration watchLimit;

  /**
   * Creates the decisions.
   *
   * @param watchLimit after what time a call without an outcome counts as lost
   */
  HostListWatch(Duration watchLimit) {
    this.watchLimit = watchLimit;
  }

  @Override
  public Step<State, HostListEffect> apply(State state, HostListEvent event, MonotonicTime time) {
    List<HostListEffect> effects = new ArrayList<>();
    State current = take(state, event, time, effects);
    boolean lost =
        current.watchingSince().isPresent()
            && time.since(current.watchingSince().get()).compareTo(watchLimit) > 0;
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

  private static State take(
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
   * How far the watch is.
   *
   * <p>Immutable and thread-safe.
   *
   * @param version the version of the newest list
   * @param watchingSince when the call under way was started
   * @param failures how many calls failed in a row
   * @param notBefore when the next call is allowed
   * @param randomNumber the last random number
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
