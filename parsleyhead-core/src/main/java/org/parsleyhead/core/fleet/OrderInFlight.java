package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;

/**
 * An order whose answer is outstanding.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the order, unique on this host
 * @param kind the kind of the order
 * @param adapter the adapter to load or unload
 * @param sentAt when the order was issued
 */
record OrderInFlight(
    long number, FleetEffect.OrderKind kind, AdapterKey adapter, MonotonicTime sentAt) {}
