package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.ticket.Priority;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The hosts that wait for one adapter on one engine. A single load serves all of them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param waiters the last pin request of each waiting process
 * @param waitingSince when the first of these requests was received
 * @param consecutiveFailures the number of loads that failed in a row
 * @param notBefore the earliest start of the next load
 */
record Demand(
    PMap<Sender, Waiter> waiters,
    MonotonicTime waitingSince,
    int consecutiveFailures,
    MonotonicTime notBefore) {

  private static final int INTERACTIVE_WEIGHT = 80;
  private static final int BATCH_WEIGHT = 10;
  private static final Duration WEIGHT_DOUBLING_WAIT = Duration.ofSeconds(5);

  /**
   * The last pin request of a waiting process.
   *
   * @param requestNumber the number of the pin request
   * @param requestedAt when the request was received
   * @param demand the demand stated in the request
   */
  record Waiter(long requestNumber, MonotonicTime requestedAt, PinDemand demand) {}

  /** Returns a demand without waiters. */
  static Demand none(MonotonicTime time) {
    return new Demand(HashTreePMap.empty(), time, 0, time);
  }

  /** Returns this demand with a waiter added or replaced. */
  Demand withWaiter(Sender sender, Waiter waiter) {
    MonotonicTime first = waiters.isEmpty() ? waiter.requestedAt() : waitingSince;
    return new Demand(waiters.plus(sender, waiter), first, consecutiveFailures, notBefore);
  }

  /** Returns this demand without one waiter. */
  Demand withoutWaiter(Sender sender) {
    return new Demand(waiters.minus(sender), waitingSince, consecutiveFailures, notBefore);
  }

  /** Returns this demand without waiters. */
  Demand withoutWaiters() {
    return new Demand(HashTreePMap.empty(), waitingSince, consecutiveFailures, notBefore);
  }

  /** Returns this demand without waiters whose last request is older than a time. */
  Demand withoutStaleWaiters(MonotonicTime oldest) {
    PMap<Sender, Waiter> kept = waiters;
    for (var entry : waiters.entrySet()) {
      if (entry.getValue().requestedAt().isBefore(oldest)) {
        kept = kept.minus(entry.getKey());
      }
    }
    return new Demand(kept, waitingSince, consecutiveFailures, notBefore);
  }

  /** Returns this demand after a failed load, without waiters. */
  Demand withFailedLoad(MonotonicTime retryAt) {
    return new Demand(HashTreePMap.empty(), waitingSince, consecutiveFailures + 1, retryAt);
  }

  /** Returns whether a host waits and the backoff has elapsed. */
  boolean isLoadDue(MonotonicTime time) {
    return !waiters.isEmpty() && !time.isBefore(notBefore);
  }

  /** Returns whether no host waits and the failure count is no longer needed. */
  boolean isExpired(MonotonicTime time, Duration retention) {
    return waiters.isEmpty() && !time.isBefore(notBefore.plus(retention));
  }

  /** Returns the number of waiting requests over all hosts. */
  int waitingRequests() {
    return waiters.values().stream().mapToInt(waiter -> waiter.demand().waitingRequests()).sum();
  }

  /**
   * Returns the load priority of the adapter: it grows with the number of waiting requests and with
   * their waiting time, and shrinks for client accounts that are ahead of their share of loads.
   */
  int weight(MonotonicTime time) {
    double requests =
        waiters.values().stream().map(Waiter::demand).mapToDouble(Demand::weight).sum();
    double waited = time.since(waitingSince).toMillis() / (double) WEIGHT_DOUBLING_WAIT.toMillis();
    double aged = requests * (1 + Math.max(0, waited));
    return (int) Math.ceil(Math.min(Integer.MAX_VALUE, aged));
  }

  private static double weight(PinDemand demand) {
    int requestWeight =
        demand.priority() == Priority.INTERACTIVE ? INTERACTIVE_WEIGHT : BATCH_WEIGHT;
    return (double) requestWeight
        * Math.max(1, demand.waitingRequests())
        / (1 + demand.loadsAhead());
  }
}
