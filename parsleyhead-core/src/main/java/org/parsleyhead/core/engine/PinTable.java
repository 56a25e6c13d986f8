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
 * <p>Immutable and thread-safe. A pin belongs to one run of a process. It ends by its release or at
 * the end of the time that the owner counts, whichever the owner learns first.
 *
 * @param pins the pins that may be valid, by adapter and holder
 * @param endedAt for adapters without pins: when the last one ended
 */
record PinTable(
    PMap<AdapterReference, PMap<Sender, Pin>> pins, PMap<AdapterReference, MonotonicTime> endedAt) {

  /**
   * One pin.
   *
   * @param number the number of the last pin request
   * @param until when it has surely ended
   */
  record Pin(long number, MonotonicTime until) {}

  /** Returns a table without pins. */
  static PinTable empty() {
    return new PinTable(HashTreePMap.empty(), HashTreePMap.empty());
  }

  /** Returns the table with a pin granted or renewed. */
  PinTable grant(AdapterReference adapter, Sender holder, long number, MonotonicTime until) {
    PMap<Sender, Pin> holders = pins.getOrDefault(adapter, HashTreePMap.empty());
    Pin known = holders.get(holder);
    Pin renewed =
        known == null
            ? new Pin(number, until)
            : new Pin(Math.max(known.number, number), later(known.until, until));
    return new PinTable(pins.plus(adapter, holders.plus(holder, renewed)), endedAt);
  }

  /** Returns the table after a release; a pin of a later request stays. */
  PinTable release(
      AdapterReference adapter, Sender holder, long throughNumber, MonotonicTime time) {
    Pin known = pins.getOrDefault(adapter, HashTreePMap.empty()).get(holder);
    if (known == null || known.number > throughNumber) {
      return this;
    }
    return remove(adapter, holder, time);
  }

  /** Returns the table without pins that have ended by a time. */
  PinTable expire(MonotonicTime time) {
    PinTable remaining = this;
    for (var byAdapter : pins.entrySet()) {
      for (var pin : byAdapter.getValue().entrySet()) {
        if (!time.isBefore(pin.getValue().until())) {
          remaining = remaining.remove(byAdapter.getKey(), pin.getKey(), pin.getValue().until());
        }
      }
    }
    return remaining;
  }

  /** Returns the table without memory of pins that ended before a time. */
  PinTable forgetBefore(MonotonicTime oldest) {
    PMap<AdapterReference, MonotonicTime> kept = endedAt;
    for (var entry : endedAt.entrySet()) {
      if (entry.getValue().isBefore(oldest)) {
        kept = kept.minus(entry.getKey());
      }
    }
    return new PinTable(pins, kept);
  }

  /** Tells whether a pin on an adapter may be valid. */
  boolean isPinned(AdapterReference adapter, MonotonicTime time) {
    PMap<Sender, Pin> holders = pins.get(adapter);
    return holders != null && holders.values().stream().anyMatch(pin -> time.isBefore(pin.until()));
  }

  /** Returns when the last pin on an adapter without pins ended; empty if it never had one. */
  Optional<MonotonicTime> lastEnd(AdapterReference adapter) {
    Optional<MonotonicTime> held =
        pins.getOrDefault(adapter, HashTreePMap.empty()).values().stream()
            .map(Pin::until)
            .max(MonotonicTime::compareTo);
    Optional<MonotonicTime> ended = Optional.ofNullable(endedAt.get(adapter));
    return held.isPresent() && ended.isPresent()
        ? Optional.of(later(held.get(), ended.get()))
        : held.or(() -> ended);
  }

  /** Returns the hosts that may hold a pin on an adapter, in the order of their names. */
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
    MonotonicTime known = endedAt.getOrDefault(adapter, end);
    return new PinTable(remaining, endedAt.plus(adapter, later(known, end)));
  }

  private static MonotonicTime later(MonotonicTime one, MonotonicTime other) {
    return one.isBefore(other) ? other : one;
  }
}
