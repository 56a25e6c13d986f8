package org.parsleyhead.core.instance;

import java.util.Map;
import java.util.Set;
import org.parsleyhead.core.api.Preconditions;

/**
 * The models and adapters that an instance holds after a number of accepted orders.
 *
 * <p>Immutable and thread-safe. Of two reports on the same run of an instance, the one with more
 * orders is newer.
 *
 * @param instance the identifier of the instance
 * @param startedAtMilliseconds the start time of the instance, in milliseconds since 1970
 * @param orderCount the number of orders that it had accepted
 * @param models the loaded base models
 * @param adapters the versions of the loaded adapters
 * @param freeSlots the adapter slots that are free or can be freed at once; {@link #UNKNOWN_SLOTS}
 *     if unknown
 */
public record AdapterReport(
    String instance,
    long startedAtMilliseconds,
    long orderCount,
    Set<String> models,
    Map<AdapterKey, Long> adapters,
    int freeSlots) {

  /** The number of free slots in a report that does not state it. */
  public static final int UNKNOWN_SLOTS = -1;

  /** Requires a valid instance identifier and copies the collections. */
  public AdapterReport {
    Preconditions.requireName(instance, "instance");
    models = Set.copyOf(models);
    adapters = Map.copyOf(adapters);
    freeSlots = Math.max(UNKNOWN_SLOTS, freeSlots);
  }

  /** Creates a report that does not state the free slots. */
  public AdapterReport(
      String instance,
      long startedAtMilliseconds,
      long orderCount,
      Set<String> models,
      Map<AdapterKey, Long> adapters) {
    this(instance, startedAtMilliseconds, orderCount, models, adapters, UNKNOWN_SLOTS);
  }
}
