package org.parsleyhead.core.api;

/**
 * A pure function from a state and a timestamped event to a new state and effects.
 *
 * <p>Implementations are pure: equal arguments give equal results, and there are no side effects.
 *
 * @param <S> the type of the state
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
@FunctionalInterface
public interface Transition<S, E, F> {

  /** Applies an event that is processed at the given time. */
  Step<S, F> apply(S state, E event, MonotonicTime time);
}
