package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.Standing;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Gives out the cell's allowance of transfers from the weight store.
 *
 * <p>Immutable and thread-safe. At most the allowed number of permits is out at any time: a permit
 * counts until it is returned or until the transfer that it allowed has surely ended. A new keeper
 * waits until all permits of the former one have ended; without an exclusive right it grants none.
 *
 * @param acquisition since when this host is the keeper; empty if it is not
 * @param allowance how many transfers may start now, at most one
 * @param refilled when the allowance was last computed
 * @param inFlight the permits that are out, with the end of the time that they count
 * @param queue the requests that wait
 */
record PermitKeeper(
    Optional<Acquisition> acquisition,
    double allowance,
    MonotonicTime refilled,
    PMap<Key, MonotonicTime> inFlight,
    PMap<Key, Waiting> queue) {

  /** The rendezvous key of the keeper. */
  static final String RENDEZVOUS_KEY = "transfer-permit-keeper";

  private static final double LARGEST_ALLOWANCE = 1;

  /** The name of a permit: who asked and with what number. */
  record Key(Sender sender, long number) {}

  /** A request that waits: how much it is wanted, since when, and when it was last sent. */
  record Waiting(int weight, MonotonicTime since, MonotonicTime refreshed) {}

  /** A permit to be sent to the one who asked. */
  record Granted(Key key) {}

  /** The keeper after grants, with the grants. */
  record Outcome(PermitKeeper keeper, List<Granted> granted) {}

  /** Returns a keeper that has given nothing. */
  static PermitKeeper empty(MonotonicTime time) {
    return new PermitKeeper(Optional.empty(), 0, time, HashTreePMap.empty(), HashTreePMap.empty());
  }

  /** Returns the keeper after a look at the list and the attestations. */
  PermitKeeper observe(Standing standing, Duration gapTolerance, MonotonicTime time) {
    if (!Acquisition.belongsToSelf(standing, RENDEZVOUS_KEY)) {
      return empty(time);
    }
    Acquisition held =
        acquisition.orElseGet(() -> Acquisition.begin(standing, RENDEZVOUS_KEY, time));
    return new PermitKeeper(
        Optional.of(held.observe(standing, gapTolerance, time)),
        allowance,
        refilled,
        inFlight,
        queue);
  }

  /** Returns the keeper with a request queued; it keeps the place of the one that it replaces. */
  PermitKeeper request(Sender sender, PermitRequest request, MonotonicTime time) {
    Key key = new Key(sender, request.number());
    if (acquisition.isEmpty() || inFlight.containsKey(key)) {
      return this;
    }
    Key replaced = new Key(sender, request.replaces());
    Waiting before = queue.get(replaced);
    MonotonicTime since = before == null ? time : before.since();
    return withQueue(queue.minus(replaced).plus(key, new Waiting(request.waiting(), since, time)));
  }

  /** Returns the keeper after a permit came back; an unused one may be given again at once. */
  PermitKeeper giveBack(Sender sender, PermitReturn message) {
    Key key = new Key(sender, message.number());
    boolean refund = inFlight.containsKey(key) && !message.used();
    double next = refund ? Math.min(LARGEST_ALLOWANCE, allowance + 1) : allowance;
    return new PermitKeeper(acquisition, next, refilled, inFlight.minus(key), queue.minus(key));
  }

  /** Grants what the allowance permits now, the most wanted first. */
  Outcome grant(Standing standing, OwnershipSettings settings, MonotonicTime time) {
    PermitKeeper current = refill(settings, time).expire(settings, time);
    boolean entitled =
        acquisition.isPresent()
            && acquisition
                .get()
                .isExclusiveFor(settings.settling().plus(settings.permitCounted()), standing, time);
    if (!entitled) {
      return new Outcome(current, List.of());
    }
    List<Granted> granted = new ArrayList<>();
    while (current.hasRoom(settings) && !current.queue.isEmpty()) {
      Key key = current.next();
      granted.add(new Granted(key));
      current = current.give(key, time.plus(settings.permitCounted()));
    }
    return new Outcome(current, granted);
  }

  private boolean hasRoom(OwnershipSettings settings) {
    return allowance >= 1 && inFlight.size() < settings.maximumTransfers();
  }

  private Key next() {
    Comparator<Map.Entry<Key, Waiting>> byWeight =
        Comparator.comparingInt(entry -> -entry.getValue().weight());
    return queue.entrySet().stream()
        .min(byWeight.thenComparing(entry -> entry.getValue().since()))
        .orElseThrow()
        .getKey();
  }

  private PermitKeeper give(Key key, MonotonicTime countedUntil) {
    return new PermitKeeper(
        acquisition, allowance - 1, refilled, inFlight.plus(key, countedUntil), queue.minus(key));
  }

  private PermitKeeper refill(OwnershipSettings settings, MonotonicTime time) {
    double seconds = time.since(refilled).toNanos() / 1e9;
    double next = Math.min(LARGEST_ALLOWANCE, allowance + seconds * settings.loadsPerSecond());
    return new PermitKeeper(acquisition, next, time, inFlight, queue);
  }

  private PermitKeeper expire(OwnershipSettings settings, MonotonicTime time) {
    PMap<Key, MonotonicTime> counted = inFlight;
    for (var entry : inFlight.entrySet()) {
      if (!time.isBefore(entry.getValue())) {
        counted = counted.minus(entry.getKey());
      }
    }
    PMap<Key, Waiting> kept = queue;
    MonotonicTime oldest = time.minus(settings.permitStartWindow().dividedBy(2));
    for (var entry : queue.entrySet()) {
      if (entry.getValue().refreshed().isBefore(oldest)) {
        kept = kept.minus(entry.getKey());
      }
    }
    return new PermitKeeper(acquisition, allowance, refilled, counted, kept);
  }

  private PermitKeeper withQueue(PMap<Key, Waiting> next) {
    return new PermitKeeper(acquisition, allowance, refilled, inFlight, next);
  }
}
