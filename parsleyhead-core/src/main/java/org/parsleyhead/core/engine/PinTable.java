package org.parsleyhead.core.engine;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The pins that the owner of an engine has granted.
 *
 * <p>Immutable and thread-safe. A pin belongs to one incarnation of a host. It ends when the owner
 * receives its release or when it expires on the owner's clock, whichever comes first.
 *
 * @param pins the pins that may be valid, by adapter and holder
 * @param lastEndedAt when the last pin on an adapter ended, for adapters with recently ended pins
 */
record PinTable(
    PMap<AdapterReference, PMap<Sender, Pin>> pins,
    PMap<AdapterReference, MonotonicTime> lastEndedAt) {

  /**
   * A pin of one holder on one adapter.
   *
   * @param requestNumber the number of the last pin request
   * @param expiresAt the time from which the holder no longer uses it, clock margin included
   */
  record Pin(long requestNumber, MonotonicTime expiresAt) {}

  /** Returns a table without pins. */
  static PinTable empty() {
    return new PinTable(HashTreePMap.empty(), HashTreePMap.empty());
  }

  /** Returns the table with a pin granted or renewed. */
  PinTable grant(AdapterReference adapter, Sender holder, long number, MonotonicTime expiresAt) {
    PMap<Sender, Pin> holders = pins.getOrDefault(adapter, HashTreePMap.empty());
    Pin known = holders.get(holder);
    Pin renewed =
        known == null
            ? new Pin(number, expiresAt)
            : new Pin(Math.max(known.requestNumber, number), later(known.expiresAt, expiresAt));
    return new PinTable(pins.plus(adapter, holders.plus(holder, renewed)), lastEndedAt);
  }

  /** Returns the table after a release; a pin of a later request is retained. */
  PinTable release(
      AdapterReference adapter, Sender holder, long throughNumber, MonotonicTime time) {
    Pin known = pins.getOrDefault(adapter, HashTreePMap.empty()).get(holder);
    if (known == null || known.requestNumber > throughNumber) {
      return this;
    }
    return remove(adapter, holder, time);
  }

  /** Returns the table without pins that have expired at a time. */
  PinTable expire(MonotonicTime time) {
    PinTable remaining = this;
    for (var byAdapter : pins.entrySet()) {
      for (var pin : byAdapter.getValue().entrySet()) {
        if (!time.isBefore(pin.getValue().expiresAt())) {
          remaining =
              remaining.remove(byAdapter.getKey(), pin.getKey(), pin.getValue().expiresAt());
        }
      }
    }
    return remaining;
  }

  /** Returns the table without records of pins that ended before a time. */
  PinTable discardEndedBefore(MonotonicTime oldest) {
    PMap<AdapterReference, MonotonicTime> kept = lastEndedAt;
    for (var entry : lastEndedAt.entrySet()) {
      if (entry.getValue().isBefore(oldest)) {
        kept = kept.minus(entry.getKey());
      }
    }
    return new PinTable(pins, kept);
  }

  /** Returns whether a pin on an adapter may be valid. */
  boolean isPinned(AdapterReference adapter, MonotonicTime time) {
    PMap<Sender, Pin> holders = pins.get(adapter);
    return holders != null
        && holders.values().stream().anyMatch(pin -> time.isBefore(pin.expiresAt()));
  }

  /** Returns when the last pin on an adapter ends or ended; empty if none is recorded. */
  Optional<MonotonicTime> lastPinEnd(AdapterReference adapter) {
    Optional<MonotonicTime> held =
        pins.getOrDefault(adapter, HashTreePMap.empty()).values().stream()
            .map(Pin::expiresAt)
            .max(MonotonicTime::compareTo);
    Optional<MonotonicTime> ended = Optional.ofNullable(lastEndedAt.get(adapter));
    return held.isPresent() && ended.isPresent()
        ? Optional.of(later(held.get(), ended.get()))
        : held.or(() -> ended);
  }

  /** Returns the hosts that may hold a pin on an adapter, sorted by name. */
  SortedSet<HostName> holders(AdapterReference adapter) {
    SortedSet<HostName> holders = new TreeSet<>();
    pins.getOrDefault(adapter, HashTreePMap.empty())
        .keySet()
        .forEach(holder -> holders.add(holder.host()));
    return holders;
  }

  private PinTable remove(AdapterReference adapter, Sender holder, MonotonicTime end) {
    PMap<Sender, Pin> holders = pins.get(adapter).minus(holder);
    PMap<AdapterReference, PMap<Sender, Pin>> remaining =
        holders.isEmpty() ? pins.minus(adapter) : pins.plus(adapter, holders);
    MonotonicTime known = lastEndedAt.getOrDefault(adapter, end);
    return new PinTable(remaining, lastEndedAt.plus(adapter, later(known, end)));
  }

  private static MonotonicTime later(MonotonicTime one, MonotonicTime other) {
    return one.isBefore(other) ? other : one;
  }
}
