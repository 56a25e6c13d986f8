package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What the owner of an engine knows of it.
 *
 * <p>Immutable and thread-safe. Keeps an entry for adapters that are resident, wanted or lately
 * used, and for no others.
 *
 * @param item the engine as declared
 * @param acquisition since when this host owns it
 * @param residency what it holds
 * @param pins the pins on its adapters
 * @param demands the adapters that hosts wait for
 * @param uses how often adapters were used lately
 * @param recalledUntil adapters that get no new pins, since the owner wants their slot
 * @param listeners the hosts that get hints, with the time of their last request
 * @param orders the orders to it
 */
record OwnedEngine(
    UpstreamItem item,
    Acquisition acquisition,
    Residency residency,
    PinTable pins,
    PMap<AdapterReference, Demand> demands,
    PMap<AdapterReference, DecayedRate> uses,
    PMap<AdapterReference, MonotonicTime> recalledUntil,
    PMap<HostName, MonotonicTime> listeners,
    OrderBook orders) {

  /** Returns a newly acquired engine of which nothing is known. */
  static OwnedEngine acquired(UpstreamItem item, Acquisition acquisition) {
    return new OwnedEngine(
        item,
        acquisition,
        Residency.unread(),
        PinTable.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        OrderBook.empty());
  }

  UpstreamName name() {
    return item.name();
  }

  boolean isLeaving() {
    return item.leaving();
  }

  UpstreamItem.Engine engine() {
    return item.engine().orElseThrow();
  }

  /** Counts an adapter whose last order has an unknown outcome as if it held a slot. */
  boolean isFull() {
    return residency.occupiedSlots() >= engine().adapterSlots();
  }

  boolean isRecalled(AdapterReference adapter, MonotonicTime time) {
    MonotonicTime until = recalledUntil.get(adapter);
    return until != null && time.isBefore(until);
  }

  double expectedReuse(AdapterReference adapter, MonotonicTime time, Duration halfLife) {
    DecayedRate rate = uses.get(adapter);
    return rate == null ? 0 : rate.valueAt(time, halfLife);
  }

  Demand demand(AdapterReference adapter, MonotonicTime time) {
    return demands.getOrDefault(adapter, Demand.none(time));
  }

  OwnedEngine withItem(UpstreamItem next) {
    return new OwnedEngine(
        next, acquisition, residency, pins, demands, uses, recalledUntil, listeners, orders);
  }

  OwnedEngine withAcquisition(Acquisition next) {
    return new OwnedEngine(
        item, next, residency, pins, demands, uses, recalledUntil, listeners, orders);
  }

  OwnedEngine withResidency(Residency next) {
    return new OwnedEngine(
        item, acquisition, next, pins, demands, uses, recalledUntil, listeners, orders);
  }

  OwnedEngine withPins(PinTable next) {
    return new OwnedEngine(
        item, acquisition, residency, next, demands, uses, recalledUntil, listeners, orders);
  }

  OwnedEngine withDemands(PMap<AdapterReference, Demand> next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, next, uses, recalledUntil, listeners, orders);
  }

  OwnedEngine withUses(PMap<AdapterReference, DecayedRate> next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, demands, next, recalledUntil, listeners, orders);
  }

  OwnedEngine withRecalled(PMap<AdapterReference, MonotonicTime> next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, demands, uses, next, listeners, orders);
  }

  OwnedEngine withListeners(PMap<HostName, MonotonicTime> next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, demands, uses, recalledUntil, next, orders);
  }

  OwnedEngine withOrders(OrderBook next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, demands, uses, recalledUntil, listeners, next);
  }
}
