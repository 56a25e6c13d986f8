package org.parsleyhead.core.api;

/**
 * A decision: from a state and an event with its time to a new state and effects.
 *
 * <p>Implementations are pure: equal arguments give equal results, and nothing outside the result
 * changes.
 *
 * @param <S> the type of the state
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
@FunctionalInterface
public interface Transition<S, E, F> {

  /** Applies an event that was taken up at a time. */
  Step<S, F> apply(S state, E event, MonotonicTime time);
}
