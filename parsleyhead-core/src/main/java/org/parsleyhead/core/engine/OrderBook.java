package org.parsleyhead.core.engine;

import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The orders of one engine: at most one is pending at a time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param pending the order whose answer is awaited
 * @param permit the permit for the next transfer, asked for or granted
 * @param unknownSince if it is not known what the engine holds: since when
 * @param readingSince if a reading is under way: since when
 * @param fencingRetries how often the engine refused the fencing number
 */
record OrderBook(
    Optional<Order> pending,
    Optional<Permit> permit,
    Optional<MonotonicTime> unknownSince,
    Optional<MonotonicTime> readingSince,
    long fencingRetries) {

  /**
   * An order that was given.
   *
   * @param number its number
   * @param load whether it loads the adapter; it unloads it otherwise
   * @param adapter the adapter
   * @param sent when it was given
   * @param permit the permit of a load
   */
  record Order(
      long number,
      boolean load,
      AdapterReference adapter,
      MonotonicTime sent,
      Optional<Permit> permit) {}

  /**
   * A permit for one transfer.
   *
   * @param keeper the host that was asked
   * @param number the number of the request
   * @param requested when it was asked for
   * @param granted whether it was granted
   */
  record Permit(HostName keeper, long number, MonotonicTime requested, boolean granted) {

    Permit asGranted() {
      return new Permit(keeper, number, requested, true);
    }
  }

  /** Returns a book without orders. */
  static OrderBook empty() {
    return new OrderBook(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), 0);
  }

  OrderBook withPending(Order order) {
    return new OrderBook(
        Optional.of(order),
        order.load() ? Optional.empty() : permit,
        unknownSince,
        readingSince,
        fencingRetries);
  }

  OrderBook withPermit(Optional<Permit> next) {
    return new OrderBook(pending, next, unknownSince, readingSince, fencingRetries);
  }

  OrderBook ended(OrderOutcome outcome, MonotonicTime time) {
    Optional<MonotonicTime> unknown =
        outcome == OrderOutcome.DONE ? unknownSince : Optional.of(time);
    long retries = outcome == OrderOutcome.FENCED ? fencingRetries + 1 : fencingRetries;
    return new OrderBook(Optional.empty(), permit, unknown, readingSince, retries);
  }

  OrderBook doubted(MonotonicTime time) {
    return new OrderBook(pending, permit, Optional.of(time), readingSince, fencingRetries);
  }

  OrderBook reading(MonotonicTime time) {
    return new OrderBook(pending, permit, unknownSince, Optional.of(time), fencingRetries);
  }

  OrderBook readEnded() {
    return new OrderBook(pending, permit, unknownSince, Optional.empty(), fencingRetries);
  }

  OrderBook read(MonotonicTime readStarted) {
    Optional<MonotonicTime> unknown = unknownSince.filter(since -> readStarted.isBefore(since));
    return new OrderBook(pending, permit, unknown, Optional.empty(), fencingRetries);
  }
}
