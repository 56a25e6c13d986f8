package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.ticket.Priority;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The hosts that wait for one adapter on one engine. All of them are served by one load.
 *
 * <p>Immutable and thread-safe.
 *
 * @param waiters the hosts that wait
 * @param since when the first of them asked
 * @param failures how many loads failed in a row
 * @param notBefore when the next load may start
 */
record Demand(
    PMap<Sender, Waiter> waiters, MonotonicTime since, int failures, MonotonicTime notBefore) {

  private static final int INTERACTIVE_WEIGHT = 80;
  private static final int BATCH_WEIGHT = 10;
  private static final Duration DOUBLING_WAIT = Duration.ofSeconds(5);

  /**
   * A host that waits.
   *
   * @param number the number of its last pin request
   * @param asked when that arrived
   * @param demand what it wants
   */
  record Waiter(long number, MonotonicTime asked, PinDemand demand) {}

  /** Returns a demand without waiters. */
  static Demand none(MonotonicTime time) {
    return new Demand(HashTreePMap.empty(), time, 0, time);
  }

  /** Returns this demand with a host that waits. */
  Demand plus(Sender sender, Waiter waiter) {
    MonotonicTime first = waiters.isEmpty() ? waiter.asked() : since;
    return new Demand(waiters.plus(sender, waiter), first, failures, notBefore);
  }

  /** Returns this demand without one host. */
  Demand without(Sender sender) {
    return new Demand(waiters.minus(sender), since, failures, notBefore);
  }

  /** Returns this demand without its waiters. */
  Demand answered() {
    return new Demand(HashTreePMap.empty(), since, failures, notBefore);
  }

  /** Returns this demand without waiters that have not asked again since a time. */
  Demand retainSince(MonotonicTime oldest) {
    PMap<Sender, Waiter> kept = waiters;
    for (var entry : waiters.entrySet()) {
      if (entry.getValue().asked().isBefore(oldest)) {
        kept = kept.minus(entry.getKey());
      }
    }
    return new Demand(kept, since, failures, notBefore);
  }

  /** Returns this demand after a failed load. */
  Demand failed(MonotonicTime retryAt) {
    return new Demand(HashTreePMap.empty(), since, failures + 1, retryAt);
  }

  /** Tells whether a load may start. */
  boolean isDue(MonotonicTime time) {
    return !waiters.isEmpty() && !time.isBefore(notBefore);
  }

  /** Tells whether nothing of this demand needs to be remembered. */
  boolean isForgettable(MonotonicTime time, Duration memory) {
    return waiters.isEmpty() && !time.isBefore(notBefore.plus(memory));
  }

  /** Returns how many requests wait. */
  int requests() {
    return waiters.values().stream().mapToInt(waiter -> waiter.demand().waiting()).sum();
  }

  /**
   * Returns how much the adapter is wanted: the waiting requests, more if they wait for long, less
   * if their client account is ahead of its share.
   */
  int weight(MonotonicTime time) {
    double requests =
        waiters.values().stream().map(Waiter::demand).mapToDouble(Demand::weight).sum();
    double waited = time.since(since).toMillis() / (double) DOUBLING_WAIT.toMillis();
    double aged = requests * (1 + Math.max(0, waited));
    return (int) Math.ceil(Math.min(Integer.MAX_VALUE, aged));
  }

  private static double weight(PinDemand demand) {
    int each = demand.urgency() == Priority.INTERACTIVE ? INTERACTIVE_WEIGHT : BATCH_WEIGHT;
    return (double) each * Math.max(1, demand.waiting()) / (1 + demand.loadsAhead());
  }
}
