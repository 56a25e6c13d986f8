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
 * The state that the owner of an engine keeps about it.
 *
 * <p>Immutable and thread-safe. Memory is bounded: only resident, requested or recently used
 * adapters have entries.
 *
 * @param item the declaration of the engine
 * @param acquisition the exclusive right of this host to the engine
 * @param residency the adapters that the engine holds
 * @param pins the pins granted on its adapters
 * @param demands the adapters that hosts wait for
 * @param uses the decayed use count of each adapter
 * @param recalledUntil adapters whose pins are recalled, with the time until which they get no new
 *     pins
 * @param hintRecipients the hosts that receive hints, with the time of their last pin request
 * @param orders the pending order, the permit and the state reads
 */
record OwnedEngine(
    UpstreamItem item,
    Acquisition acquisition,
    Residency residency,
    PinTable pins,
    PMap<AdapterReference, Demand> demands,
    PMap<AdapterReference, DecayedCount> uses,
    PMap<AdapterReference, MonotonicTime> recalledUntil,
    PMap<HostName, MonotonicTime> hintRecipients,
    EngineOrderState orders) {

  /** Returns a newly acquired engine whose state is unknown. */
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
        EngineOrderState.empty());
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

  /**
   * Returns whether all slots are occupied; an adapter whose last order has an unknown outcome
   * counts as occupying one.
   */
  boolean isFull() {
    return residency.occupiedSlots() >= engine().adapterSlots();
  }

  boolean isRecalled(AdapterReference adapter, MonotonicTime time) {
    MonotonicTime until = recalledUntil.get(adapter);
    return until != null && time.isBefore(until);
  }

  double expectedReuse(AdapterReference adapter, MonotonicTime time, Duration halfLife) {
    DecayedCount count = uses.get(adapter);
    return count == null ? 0 : count.valueAt(time, halfLife);
  }

  Demand demand(AdapterReference adapter, MonotonicTime time) {
    return demands.getOrDefault(adapter, Demand.none(time));
  }

  OwnedEngine withItem(UpstreamItem next) {
    return new OwnedEngine(
        next, acquisition, residency, pins, demands, uses, recalledUntil, hintRecipients, orders);
  }

  OwnedEngine withAcquisition(Acquisition next) {
    return new OwnedEngine(
        item, next, residency, pins, demands, uses, recalledUntil, hintRecipients, orders);
  }

  OwnedEngine withResidency(Residency next) {
    return new OwnedEngine(
        item, acquisition, next, pins, demands, uses, recalledUntil, hintRecipients, orders);
  }

  OwnedEngine withPins(PinTable next) {
    return new OwnedEngine(
        item, acquisition, residency, next, demands, uses, recalledUntil, hintRecipients, orders);
  }

  OwnedEngine withDemands(PMap<AdapterReference, Demand> next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, next, uses, recalledUntil, hintRecipients, orders);
  }

  OwnedEngine withUses(PMap<AdapterReference, DecayedCount> next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, demands, next, recalledUntil, hintRecipients, orders);
  }

  OwnedEngine withRecalled(PMap<AdapterReference, MonotonicTime> next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, demands, uses, next, hintRecipients, orders);
  }

  OwnedEngine withHintRecipients(PMap<HostName, MonotonicTime> next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, demands, uses, recalledUntil, next, orders);
  }

  OwnedEngine withOrders(EngineOrderState next) {
    return new OwnedEngine(
        item, acquisition, residency, pins, demands, uses, recalledUntil, hintRecipients, next);
  }
}
