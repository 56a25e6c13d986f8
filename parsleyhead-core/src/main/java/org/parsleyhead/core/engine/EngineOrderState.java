package org.parsleyhead.core.engine;

import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The pending order, the transfer permit and the state read of one engine.
 *
 * <p>Immutable and thread-safe. At most one order is pending at a time.
 *
 * @param pending the order whose completion is awaited
 * @param permit the permit for the next transfer, requested or granted
 * @param unknownSince the time since which the engine's adapters are unknown; empty if they are
 *     known
 * @param readingSince the start of the state read in progress, if any
 * @param fencingRetries how often the engine rejected a fencing number
 */
record EngineOrderState(
    Optional<Order> pending,
    Optional<Permit> permit,
    Optional<MonotonicTime> unknownSince,
    Optional<MonotonicTime> readingSince,
    long fencingRetries) {

  /**
   * An order that was emitted.
   *
   * @param number the number that its completion refers to
   * @param load true for a load, false for an unload
   * @param adapter the adapter to load or unload
   * @param sentAt when it was emitted
   * @param permit the permit of a load; empty for an unload
   */
  record Order(
      long number,
      boolean load,
      AdapterReference adapter,
      MonotonicTime sentAt,
      Optional<Permit> permit) {}

  /**
   * A permit for one transfer.
   *
   * @param issuer the host that issues it
   * @param number the number of the permit request
   * @param requestedAt when the request was sent
   * @param granted whether the issuer has granted it
   */
  record Permit(HostName issuer, long number, MonotonicTime requestedAt, boolean granted) {

    Permit asGranted() {
      return new Permit(issuer, number, requestedAt, true);
    }
  }

  /** Returns a state without order, permit or read. */
  static EngineOrderState empty() {
    return new EngineOrderState(
        Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), 0);
  }

  EngineOrderState withPending(Order order) {
    return new EngineOrderState(
        Optional.of(order),
        order.load() ? Optional.empty() : permit,
        unknownSince,
        readingSince,
        fencingRetries);
  }

  EngineOrderState withPermit(Optional<Permit> next) {
    return new EngineOrderState(pending, next, unknownSince, readingSince, fencingRetries);
  }

  EngineOrderState withOutcome(OrderOutcome outcome, MonotonicTime time) {
    Optional<MonotonicTime> unknown =
        outcome == OrderOutcome.DONE ? unknownSince : Optional.of(time);
    long retries = outcome == OrderOutcome.FENCED ? fencingRetries + 1 : fencingRetries;
    return new EngineOrderState(Optional.empty(), permit, unknown, readingSince, retries);
  }

  EngineOrderState withUnknownState(MonotonicTime time) {
    return new EngineOrderState(pending, permit, Optional.of(time), readingSince, fencingRetries);
  }

  EngineOrderState withReadStarted(MonotonicTime time) {
    return new EngineOrderState(pending, permit, unknownSince, Optional.of(time), fencingRetries);
  }

  EngineOrderState withReadFailed() {
    return new EngineOrderState(pending, permit, unknownSince, Optional.empty(), fencingRetries);
  }

  EngineOrderState withReadCompleted(MonotonicTime readStarted) {
    Optional<MonotonicTime> unknown = unknownSince.filter(since -> readStarted.isBefore(since));
    return new EngineOrderState(pending, permit, unknown, Optional.empty(), fencingRetries);
  }
}
