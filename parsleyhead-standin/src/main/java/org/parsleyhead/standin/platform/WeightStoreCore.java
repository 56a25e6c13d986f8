package org.parsleyhead.standin.platform;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.standin.ModeChange;
import org.parsleyhead.standin.ServiceMode;

/**
 * The state transitions of the weight store. A token bucket limits the rate at which transfers
 * start. Transfers take proportionally longer while more of them are in flight than the store can
 * serve at full speed.
 *
 * <p>Immutable and thread-safe. The number of available transfers never exceeds the burst.
 */
final class WeightStoreCore
    implements Transition<WeightStoreCore.State, WeightStoreCore.Event, WeightStoreCore.Effect> {

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final WeightStoreSettings settings;

  WeightStoreCore(WeightStoreSettings settings) {
    this.settings = settings;
  }

  /**
   * The state of the weight store.
   *
   * @param availableTransfers how many transfers may start, as of the last refill
   * @param refilledAt the time of the last refill
   * @param inFlight how many transfers are in flight
   * @param mode the service mode
   * @param requestCount how many requests were received
   * @param refused how many of them were refused because of the rate limit
   */
  record State(
      double availableTransfers,
      MonotonicTime refilledAt,
      int inFlight,
      ModeChange mode,
      long requestCount,
      long refused) {}

  /** An event that the weight store handles. */
  sealed interface Event {}

  /** An engine requested weights. */
  record FetchRequested(long exchange) implements Event {}

  /** A transfer is complete. */
  record TransferFinished(long exchange) implements Event {}

  /** The service mode changed. */
  record ModeChanged(ModeChange change) implements Event {}

  /** The periodic timer fired. */
  record Tick() implements Event {}

  /** An effect of a transition of the weight store. */
  sealed interface Effect {}

  /** Starts a transfer that is complete after a duration. */
  record StartTransfer(long exchange, Duration duration) implements Effect {}

  /** Responds with the weights. */
  record DeliverWeights(long exchange) implements Effect {}

  /** Refuses a transfer that exceeds the rate limit; a retry may succeed after a duration. */
  record RefuseRateLimited(long exchange, Duration retryAfter) implements Effect {}

  /** Refuses a transfer because the weight store is unavailable. */
  record RefuseUnavailable(long exchange) implements Effect {}

  /** Returns the initial state, in which the whole burst is available. */
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
              state.requestCount(),
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
              state.requestCount(),
              state.refused()));
    }
    return Step.of(state);
  }

  private State refill(State state, MonotonicTime time) {
    double elapsed = time.since(state.refilledAt()).toNanos() / NANOSECONDS_PER_SECOND;
    double availableTransfers =
        Math.min(
            settings.burst(), state.availableTransfers() + elapsed * settings.loadsPerSecond());
    return new State(
        availableTransfers,
        time,
        state.inFlight(),
        state.mode(),
        state.requestCount() + 1,
        state.refused());
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
              state.requestCount(),
              state.refused() + 1);
      Duration wait = Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
      return Step.of(refused, new RefuseRateLimited(exchange, wait));
    }
    State started =
        new State(
            state.availableTransfers() - 1,
            state.refilledAt(),
            state.inFlight() + 1,
            state.mode(),
            state.requestCount(),
            state.refused());
    return Step.of(started, new StartTransfer(exchange, transferTime(started)));
  }

  private Duration transferTime(State state) {
    double slowdown = Math.max(1.0, (double) state.inFlight() / settings.fullSpeedTransfers());
    return Duration.ofNanos((long) (settings.transferTime().toNanos() * slowdown))
        .plus(state.mode().responseDelay());
  }
}
