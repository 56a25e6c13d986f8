package org.parsleyhead.integration.measure;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;

/**
 * Keeps the state of one core and applies events to it at times that it is told.
 *
 * <p>Confined to one thread.
 *
 * @param <S> the state
 * @param <E> the events
 * @param <F> the effects
 */
final class Driver<S, E, F> {

  private final Transition<S, E, F> transition;
  private S state;
  private MonotonicTime time;

  Driver(Transition<S, E, F> transition, S state, MonotonicTime time) {
    this.transition = transition;
    this.state = state;
    this.time = time;
  }

  /** Applies an event and returns its effects. */
  List<F> apply(E event) {
    Step<S, F> step = transition.apply(state, event, time);
    state = step.state();
    return step.effects();
  }

  /** Lets time pass. */
  void pass(Duration duration) {
    time = time.plus(duration);
  }

  S state() {
    return state;
  }

  MonotonicTime time() {
    return time;
  }
}
