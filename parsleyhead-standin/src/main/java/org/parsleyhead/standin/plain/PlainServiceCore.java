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
 * The state transitions of a plain service, which assigns a sequence number to each request that
 * runs.
 *
 * <p>Immutable and thread-safe. If the service deduplicates by idempotency key, later requests with
 * a known key do not run again and receive the number of the first one.
 */
final class PlainServiceCore
    implements Transition<PlainServiceCore.State, PlainServiceCore.Event, PlainServiceCore.Effect> {

  private final PlainServiceSettings settings;

  PlainServiceCore(PlainServiceSettings settings) {
    this.settings = settings;
  }

  /**
   * The state of a plain service.
   *
   * @param lastNumber the sequence number of the last request that ran
   * @param numbersByKey the sequence number of the request that ran, by idempotency key
   * @param running how many requests have not been responded to
   * @param mode the service mode
   * @param requestCount how many requests were received
   */
  record State(
      long lastNumber,
      PMap<String, Long> numbersByKey,
      int running,
      ModeChange mode,
      long requestCount) {

    static final State INITIAL = new State(0, HashTreePMap.empty(), 0, ModeChange.UP, 0);
  }

  /** An event that a plain service handles. */
  sealed interface Event {}

  /** A request was received, with its idempotency key if it has one. */
  record RequestReceived(long exchange, Optional<String> idempotencyKey) implements Event {}

  /** The response to a request that ran is due. */
  record ResponseDue() implements Event {}

  /** The service mode changed. */
  record ModeChanged(ModeChange change) implements Event {}

  /** The periodic timer fired. */
  record Tick() implements Event {}

  /** How a request that ran is responded to. */
  enum ResponseKind {
    COMPLETE,
    ERROR,
    RESET,
    NONE
  }

  /** An effect of a transition of a plain service. */
  sealed interface Effect {}

  /** Runs a request, unless it is {@code repeated}, and responds to it after a delay. */
  record Run(
      long exchange, long number, boolean repeated, Duration delay, ResponseKind responseKind)
      implements Effect {}

  /** Refuses a request that did not run. */
  record Refuse(long exchange) implements Effect {}

  @Override
  public Step<State, Effect> apply(State state, Event event, MonotonicTime time) {
    if (event instanceof RequestReceived received) {
      return receive(state, received);
    }
    if (event instanceof ResponseDue) {
      return Step.of(
          new State(
              state.lastNumber(),
              state.numbersByKey(),
              state.running() - 1,
              state.mode(),
              state.requestCount()));
    }
    if (event instanceof ModeChanged mode) {
      return Step.of(
          new State(
              state.lastNumber(),
              state.numbersByKey(),
              state.running(),
              mode.change(),
              state.requestCount()));
    }
    return Step.of(state);
  }

  private Step<State, Effect> receive(State state, RequestReceived received) {
    return switch (state.mode().mode()) {
      case UNAVAILABLE -> Step.of(withRequestCounted(state), new Refuse(received.exchange()));
      case FAILING -> run(state, received, ResponseKind.ERROR);
      case RESETTING -> run(state, received, ResponseKind.RESET);
      case SILENT -> run(state, received, ResponseKind.NONE);
      default -> run(state, received, ResponseKind.COMPLETE);
    };
  }

  private Step<State, Effect> run(
      State state, RequestReceived received, ResponseKind responseKind) {
    Duration delay = settings.responseTime().plus(state.mode().responseDelay());
    Optional<String> key =
        settings.deduplicatesByIdempotencyKey() ? received.idempotencyKey() : Optional.empty();
    Optional<Long> firstNumber = key.map(state.numbersByKey()::get);
    long number = firstNumber.orElse(state.lastNumber() + 1);
    State next =
        new State(
            Math.max(number, state.lastNumber()),
            key.isPresent() ? state.numbersByKey().plus(key.get(), number) : state.numbersByKey(),
            state.running() + 1,
            state.mode(),
            state.requestCount() + 1);
    return Step.of(
        next, new Run(received.exchange(), number, firstNumber.isPresent(), delay, responseKind));
  }

  private static State withRequestCounted(State state) {
    return new State(
        state.lastNumber(),
        state.numbersByKey(),
        state.running(),
        state.mode(),
        state.requestCount() + 1);
  }
}
