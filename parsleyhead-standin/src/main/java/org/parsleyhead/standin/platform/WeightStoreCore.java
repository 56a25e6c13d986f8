package org.parsleyhead.standin.platform;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.standin.ModeChange;
import org.parsleyhead.standin.ServiceMode;

/**
 * The decisions of the weight store: a token bucket for the beginnings of transfers, and transfers
 * that take proportionally longer while more than a number of them are in flight.
 *
 * <p>Immutable and thread-safe. The fill never exceeds the burst.
 */
final class WeightStoreCore
    implements Transition<WeightStoreCore.State, WeightStoreCore.Event, WeightStoreCore.Effect> {

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final WeightStoreSettings settings;

  WeightStoreCore(WeightStoreSettings settings) {
    this.settings = settings;
  }

  /**
   * The state of the store.
   *
   * @param availableTransfers how many transfers may begin now
   * @param refilledAt the time of that fill
   * @param inFlight how many transfers are in flight
   * @param mode the way of answering
   * @param calls how many calls were received
   * @param refused how many of them were refused for the rate
   */
  record State(
      double availableTransfers,
      MonotonicTime refilledAt,
      int inFlight,
      ModeChange mode,
      long calls,
      long refused) {}

  /** What happens to the store. */
  sealed interface Event {}

  /** An engine asks for weights. */
  record FetchRequested(long exchange) implements Event {}

  /** A transfer is over. */
  record TransferFinished(long exchange) implements Event {}

  /** The way of answering changes. */
  record ModeChanged(ModeChange change) implements Event {}

  /** Time has passed. */
  record Tick() implements Event {}

  /** What the store does. */
  sealed interface Effect {}

  /** Begins a transfer that ends after a duration. */
  record StartTransfer(long exchange, Duration duration) implements Effect {}

  /** Answers that the weights are there. */
  record DeliverWeights(long exchange) implements Effect {}

  /** Refuses a transfer beyond the rate; the next may begin after a duration. */
  record RefuseRateLimited(long exchange, Duration retryAfter) implements Effect {}

  /** Refuses since the store is not available. */
  record RefuseUnavailable(long exchange) implements Effect {}

  /** Returns the state at the start. */
  State initial(MonotonicTime time) {
    return new State(settings.burst(), time, 0, ModeChange.UP, 0, 0);
  }

  @Override
  public Step<State, Effect> apply(State state, Event event, MonotonicTime time) {
    if (event instanceof FetchRequested fetch) {
      return fetch(refill(state, time), fetch.exchange());
    }
    if (event instanceof TransferFinished finished) {
      State next =
          new State(
              state.availableTransfers(),
              state.refilledAt(),
              state.inFlight() - 1,
              state.mode(),
              state.calls(),
              state.refused());
      return Step.of(next, new DeliverWeights(finished.exchange()));
    }
    if (event instanceof ModeChanged mode) {
      return Step.of(
          new State(
              state.availableTransfers(),
              state.refilledAt(),
              state.inFlight(),
              mode.change(),
              state.calls(),
              state.refused()));
    }
    return Step.of(state);
  }

  private State refill(State state, MonotonicTime time) {
    double elapsed = time.since(state.refilledAt()).toNanos() / NANOSECONDS_PER_SECOND;
    double fill =
        Math.min(
            settings.burst(), state.availableTransfers() + elapsed * settings.loadsPerSecond());
    return new State(
        fill, time, state.inFlight(), state.mode(), state.calls() + 1, state.refused());
  }

  private Step<State, Effect> fetch(State state, long exchange) {
    ServiceMode mode = state.mode().mode();
    if (mode == ServiceMode.SILENT) {
      return Step.of(state);
    }
    if (mode == ServiceMode.UNAVAILABLE || mode == ServiceMode.FAILING) {
      return Step.of(state, new RefuseUnavailable(exchange));
    }
    if (state.availableTransfers() < 1) {
      double seconds = (1 - state.availableTransfers()) / settings.loadsPerSecond();
      State refused =
          new State(
              state.availableTransfers(),
              state.refilledAt(),
              state.inFlight(),
              state.mode(),
              state.calls(),
              state.refused() + 1);
      Duration wait = Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
      return Step.of(refused, new RefuseRateLimited(exchange, wait));
    }
    State begun =
        new State(
            state.availableTransfers() - 1,
            state.refilledAt(),
            state.inFlight() + 1,
            state.mode(),
            state.calls(),
            state.refused());
    return Step.of(begun, new StartTransfer(exchange, transferTime(begun)));
  }

  private Duration transferTime(State state) {
    double slowdown = Math.max(1.0, (double) state.inFlight() / settings.fullSpeedTransfers());
    return Duration.ofNanos((long) (settings.transferTime().toNanos() * slowdown))
        .plus(state.mode().responseDelay());
  }
}
