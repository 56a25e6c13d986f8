package org.parsleyhead.core.api;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * The result of one transition: the new state and the effects to execute.
 *
 * <p>Immutable and thread-safe if the state and the effects are. Effects are executed in order.
 *
 * @param <S> the type of the state
 * @param <F> the type of the effects
 * @param state the new state
 * @param effects the effects, possibly none
 */
public record Step<S, F>(S state, List<F> effects) {

  /** Requires a state and copies the effects. */
  public Step {
    Preconditions.requireNonNull(state, "state");
    effects = List.copyOf(effects);
  }

  /** Returns a step without effects. */
  public static <S, F> Step<S, F> of(S state) {
    return new Step<>(state, List.of());
  }

  /** Returns a step with one effect. */
  public static <S, F> Step<S, F> of(S state, F effect) {
    return new Step<>(state, List.of(effect));
  }

  /** Returns this step with further effects after its own. */
  public Step<S, F> with(List<? extends F> further) {
    if (further.isEmpty()) {
      return this;
    }
    List<F> all = new ArrayList<>(effects);
    all.addAll(further);
    return new Step<>(state, all);
  }

  /** Returns this step followed by the step that a function returns for its state. */
  public Step<S, F> andThen(Function<? super S, Step<S, F>> next) {
    Step<S, F> following = next.apply(state);
    return effects.isEmpty()
        ? following
        : new Step<>(following.state, effects).with(following.effects);
  }
}
