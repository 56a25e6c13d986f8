package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Issues the transfer permits of the cell, which limit the load on the weight store.
 *
 * <p>Immutable and thread-safe. The rate of transfers is limited by a token bucket with a burst of
 * one, and the number of outstanding permits by {@link OwnershipSettings#maximumTransfers}. A
 * permit is outstanding until it is returned or until its transfer is guaranteed to have ended. A
 * new issuer waits until all permits of the former issuer have expired; without the exclusive right
 * it grants none.
 *
 * @param acquisition the exclusive right to issue permits; empty if another host issues them
 * @param availableStarts the number of transfers that may start now, at most one
 * @param refilledAt when {@code availableStarts} was last refilled
 * @param inFlight the outstanding permits, with the time at which they expire
 * @param queue the requests that wait for a permit
 */
record PermitIssuer(
    Optional<Acquisition> acquisition,
    double availableStarts,
    MonotonicTime refilledAt,
    PMap<Key, MonotonicTime> inFlight,
    PMap<Key, QueuedRequest> queue) {

  /** The rendezvous key that determines the permit issuer; equal on all hosts. */
  static final String RENDEZVOUS_KEY = "transfer-permit-keeper";

  private static final double MAXIMUM_AVAILABLE_STARTS = 1;

  /** Identifies a permit: the requesting process and the number of its request. */
  record Key(Sender sender, long number) {}

  /** A queued request: its priority, the start of its waiting time and its last refresh. */
  record QueuedRequest(int weight, MonotonicTime queuedSince, MonotonicTime refreshedAt) {}

  /** A permit to be sent to the process that requested it. */
  record Granted(Key key) {}

  /** The state after a round of grants, with the permits granted. */
  record Outcome(PermitIssuer issuer, List<Granted> granted) {}

  /** Returns an issuer without outstanding permits. */
  static PermitIssuer empty(MonotonicTime time) {
    return new PermitIssuer(Optional.empty(), 0, time, HashTreePMap.empty(), HashTreePMap.empty());
  }

  /** Returns the issuer updated from the host list and the attestations. */
  PermitIssuer observe(RightsSnapshot rightsSnapshot, Duration gapTolerance, MonotonicTime time) {
    if (!Acquisition.belongsToSelf(rightsSnapshot, RENDEZVOUS_KEY)) {
      return empty(time);
    }
    Acquisition held =
        acquisition.orElseGet(() -> Acquisition.begin(rightsSnapshot, RENDEZVOUS_KEY, time));
    return new PermitIssuer(
        Optional.of(held.observe(rightsSnapshot, gapTolerance, time)),
        availableStarts,
        refilledAt,
        inFlight,
        queue);
  }

  /** Returns the issuer with a request queued; it inherits the waiting time of its predecessor. */
  PermitIssuer enqueue(Sender sender, PermitRequest request, MonotonicTime time) {
    Key key = new Key(sender, request.number());
    if (acquisition.isEmpty() || inFlight.containsKey(key)) {
      return this;
    }
    Key replaced = new Key(sender, request.replaces());
    QueuedRequest predecessor = queue.get(replaced);
    MonotonicTime since = predecessor == null ? time : predecessor.queuedSince();
    return withQueue(
        queue.minus(replaced).plus(key, new QueuedRequest(request.weight(), since, time)));
  }

  /** Returns the issuer without a permit; an unused permit may be reissued immediately. */
  PermitIssuer release(Sender sender, PermitReturn message) {
    Key key = new Key(sender, message.number());
    boolean refund = inFlight.containsKey(key) && !message.used();
    double next =
        refund ? Math.min(MAXIMUM_AVAILABLE_STARTS, availableStarts + 1) : availableStarts;
    return new PermitIssuer(acquisition, next, refilledAt, inFlight.minus(key), queue.minus(key));
  }

  /** Grants as many permits as the limits allow, in descending order of weight. */
  Outcome grant(RightsSnapshot rightsSnapshot, OwnershipSettings settings, MonotonicTime time) {
    PermitIssuer current = refill(settings, time).expire(settings, time);
    boolean entitled =
        acquisition.isPresent()
            && acquisition
                .get()
                .isExclusiveFor(
                    settings.takeoverDelay().plus(settings.permitLifetime()), rightsSnapshot, time);
    if (!entitled) {
      return new Outcome(current, List.of());
    }
    List<Granted> granted = new ArrayList<>();
    while (current.hasCapacity(settings) && !current.queue.isEmpty()) {
      Key key = current.nextKey();
      granted.add(new Granted(key));
      current = current.issue(key, time.plus(settings.permitLifetime()));
    }
    return new Outcome(current, granted);
  }

  private boolean hasCapacity(OwnershipSettings settings) {
    return availableStarts >= 1 && inFlight.size() < settings.maximumTransfers();
  }

  private Key nextKey() {
    Comparator<Map.Entry<Key, QueuedRequest>> byWeight =
        Comparator.comparingInt(entry -> -entry.getValue().weight());
    return queue.entrySet().stream()
        .min(byWeight.thenComparing(entry -> entry.getValue().queuedSince()))
        .orElseThrow()
        .getKey();
  }

  private PermitIssuer issue(Key key, MonotonicTime expiresAt) {
    return new PermitIssuer(
        acquisition,
        availableStarts - 1,
        refilledAt,
        inFlight.plus(key, expiresAt),
        queue.minus(key));
  }

  private PermitIssuer refill(OwnershipSettings settings, MonotonicTime time) {
    double seconds = time.since(refilledAt).toNanos() / 1e9;
    double next =
        Math.min(MAXIMUM_AVAILABLE_STARTS, availableStarts + seconds * settings.loadsPerSecond());
    return new PermitIssuer(acquisition, next, time, inFlight, queue);
  }

  /** Removes expired permits, and requests not refreshed within half of the start window. */
  private PermitIssuer expire(OwnershipSettings settings, MonotonicTime time) {
    PMap<Key, MonotonicTime> outstanding = inFlight;
    for (var entry : inFlight.entrySet()) {
      if (!time.isBefore(entry.getValue())) {
        outstanding = outstanding.minus(entry.getKey());
      }
    }
    PMap<Key, QueuedRequest> kept = queue;
    MonotonicTime oldest = time.minus(settings.permitStartWindow().dividedBy(2));
    for (var entry : queue.entrySet()) {
      if (entry.getValue().refreshedAt().isBefore(oldest)) {
        kept = kept.minus(entry.getKey());
      }
    }
    return new PermitIssuer(acquisition, availableStarts, refilledAt, outstanding, kept);
  }

  private PermitIssuer withQueue(PMap<Key, QueuedRequest> next) {
    return new PermitIssuer(acquisition, availableStarts, refilledAt, inFlight, next);
  }
}
