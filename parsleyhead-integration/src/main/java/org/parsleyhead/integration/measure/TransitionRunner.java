package org.parsleyhead.integration.measure;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;

/**
 * Holds the state and the time of one core and applies events to it. Time advances only through
 * {@link #advanceTime}.
 *
 * <p>Confined to one thread.
 *
 * @param <S> the state
 * @param <E> the events
 * @param <F> the effects
 */
final class TransitionRunner<S, E, F> {

  private final Transition<S, E, F> transition;
  private S state;
  private MonotonicTime time;

  TransitionRunner(Transition<S, E, F> transition, S state, MonotonicTime time) {
    this.transition = transition;
    this.state = state;
    this.time = time;
  }

  /** Applies an event at the current time and returns its effects. */
  List<F> apply(E event) {
    Step<S, F> step = transition.apply(state, event, time);
    state = step.state();
    return step.effects();
  }

  /** Advances the time of the core. */
  void advanceTime(Duration duration) {
    time = time.plus(duration);
  }

  S state() {
    return state;
  }

  MonotonicTime time() {
    return time;
  }
}
