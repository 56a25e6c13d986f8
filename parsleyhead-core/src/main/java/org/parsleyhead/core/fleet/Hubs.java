package org.parsleyhead.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.Rendezvous;

/**
 * Selects the hubs: the few hosts that all others exchange heartbeats with.
 *
 * <p>Stateless and thread-safe. In a small fleet every host is a hub and exchanges heartbeats with
 * all others. In a larger fleet a host exchanges heartbeats only with the hubs, so that its number
 * of messages does not grow with the fleet. Hosts with different views may select different hubs;
 * the exclusiveness of leases does not depend on them.
 */
final class Hubs {

  /** Maximum number of hubs; if two thirds of them are lost at once, one is left on each side. */
  static final int MAXIMUM_HUBS = 6;

  /**
   * Processor share from which a host is preferred as a hub, in hundredths of a core; hubs handle
   * some hundred messages.
   */
  private static final int PREFERRED_CAPACITY_PERCENT = 70;

  private static final String HUB_KEY = "hub";
  private static final String ASSIGNED_HUB_KEY = "home of ";

  private Hubs() {}

  /** Returns the hubs among this host and the live ones, in a stable order. */
  static List<String> of(FleetState state, FleetSettings settings) {
    List<String> candidates = new ArrayList<>(state.liveHosts());
    candidates.add(settings.self());
    List<String> ordered = new ArrayList<>(Rendezvous.order(HUB_KEY, candidates));
    ordered.sort(Comparator.comparing(host -> !preferred(state, settings, host)));
    return List.copyOf(ordered.subList(0, Math.min(MAXIMUM_HUBS, ordered.size())));
  }

  private static boolean preferred(FleetState state, FleetSettings settings, String host) {
    int percent =
        host.equals(settings.self())
            ? settings.capacityPercent()
            : state.hosts().get(host).capacityPercent();
    return percent >= PREFERRED_CAPACITY_PERCENT;
  }

  /** Returns the hub that sends a host the totals over all others; empty if there are no hubs. */
  static Optional<String> assignedHub(String host, List<String> hubs) {
    return Rendezvous.first(ASSIGNED_HUB_KEY + host, hubs);
  }
}
