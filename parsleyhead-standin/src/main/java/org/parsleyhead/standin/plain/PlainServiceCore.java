package org.parsleyhead.standin.plain;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.standin.ModeChange;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The decisions of a plain service: each call that runs gets the next number.
 *
 * <p>Immutable and thread-safe. With idempotency keys honoured, a key runs once; later calls with
 * it get the number of the first.
 */
final class PlainServiceCore
    implements Transition<PlainServiceCore.State, PlainServiceCore.Event, PlainServiceCore.Effect> {

  private final PlainServiceSettings settings;

  PlainServiceCore(PlainServiceSettings settings) {
    this.settings = settings;
  }

  /**
   * The state of the service.
   *
   * @param lastNumber the number of the last call that ran
   * @param numbersByKey the number of each idempotency key
   * @param running how many calls wait for their answers
   * @param mode the way of answering
   * @param calls how many calls were received
   */
  record State(
      long lastNumber, PMap<String, Long> numbersByKey, int running, ModeChange mode, long calls) {

    static final State INITIAL = new State(0, HashTreePMap.empty(), 0, ModeChange.UP, 0);
  }

  /** What happens to the service. */
  sealed interface Event {}

  /** A call with its idempotency key. */
  record CallReceived(long exchange, Optional<String> idempotencyKey) implements Event {}

  /** An answer was sent. */
  record ResponseSent() implements Event {}

  /** The way of answering changes. */
  record ModeChanged(ModeChange change) implements Event {}

  /** Time has passed. */
  record Tick() implements Event {}

  /** How the answer of a call that ran is given. */
  enum ResponseKind {
    COMPLETE,
    ERROR,
    RESET,
    NONE
  }

  /** What the service does. */
  sealed interface Effect {}

  /** Runs a call and answers it after a delay. */
  record Run(
      long exchange, long number, boolean repeated, Duration delay, ResponseKind responseKind)
      implements Effect {}

  /** Refuses a call before it runs. */
  record Refuse(long exchange) implements Effect {}

  @Override
  public Step<State, Effect> apply(State state, Event event, MonotonicTime time) {
    if (event instanceof CallReceived call) {
      return call(state, call);
    }
    if (event instanceof ResponseSent) {
      return Step.of(
          new State(
              state.lastNumber(),
              state.numbersByKey(),
              state.running() - 1,
              state.mode(),
              state.calls()));
    }
    if (event instanceof ModeChanged mode) {
      return Step.of(
          new State(
              state.lastNumber(),
              state.numbersByKey(),
              state.running(),
              mode.change(),
              state.calls()));
    }
    return Step.of(state);
  }

  private Step<State, Effect> call(State state, CallReceived call) {
    return switch (state.mode().mode()) {
      case UNAVAILABLE -> Step.of(withCallCounted(state), new Refuse(call.exchange()));
      case FAILING -> run(state, call, ResponseKind.ERROR);
      case RESETTING -> run(state, call, ResponseKind.RESET);
      case SILENT -> run(state, call, ResponseKind.NONE);
      default -> run(state, call, ResponseKind.COMPLETE);
    };
  }

  private Step<State, Effect> run(State state, CallReceived call, ResponseKind responseKind) {
    Duration delay = settings.responseTime().plus(state.mode().responseDelay());
    Optional<String> key =
        settings.honoursIdempotencyKeys() ? call.idempotencyKey() : Optional.empty();
    Optional<Long> earlier = key.map(state.numbersByKey()::get);
    long number = earlier.orElse(state.lastNumber() + 1);
    State next =
        new State(
            Math.max(number, state.lastNumber()),
            key.isPresent() ? state.numbersByKey().plus(key.get(), number) : state.numbersByKey(),
            state.running() + 1,
            state.mode(),
            state.calls() + 1);
    return Step.of(
        next, new Run(call.exchange(), number, earlier.isPresent(), delay, responseKind));
  }

  private static State withCallCounted(State state) {
    return new State(
        state.lastNumber(), state.numbersByKey(), state.running(), state.mode(), state.calls() + 1);
  }
}
