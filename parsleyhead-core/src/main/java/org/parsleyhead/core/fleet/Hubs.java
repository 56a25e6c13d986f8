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

  private static final String ASSIGNED_HUB_KEY = "home of ";

  private static final Comparator<Candidate> BY_PREFERENCE =
      Comparator.comparing((Candidate candidate) -> !candidate.preferred())
          .thenComparing(Comparator.comparingLong(Candidate::weight).reversed())
          .thenComparing(Candidate::endpoint);

  private Hubs() {}

  /** Returns the hubs among this host and the live ones, in a stable order. */
  static List<String> of(FleetState state, FleetSettings settings) {
    List<Candidate> candidates = new ArrayList<>(state.hosts().size() + 1);
    HostIdentity self = HostIdentity.of(settings.self());
    candidates.add(Candidate.of(self, settings.capacityPercent()));
    for (HostView host : state.hosts().values()) {
      if (host.alive()) {
        candidates.add(Candidate.of(host.identity(), host.capacityPercent()));
      }
    }
    candidates.sort(BY_PREFERENCE);
    return candidates.stream().limit(MAXIMUM_HUBS).map(Candidate::endpoint).toList();
  }

  /** Returns the hub that sends a host the totals over all others; empty if there are no hubs. */
  static Optional<String> assignedHub(String host, List<String> hubs) {
    return Rendezvous.first(ASSIGNED_HUB_KEY + host, hubs);
  }

  private record Candidate(String endpoint, long weight, boolean preferred) {

    static Candidate of(HostIdentity identity, int capacityPercent) {
      return new Candidate(
          identity.endpoint(), identity.hubWeight(), capacityPercent >= PREFERRED_CAPACITY_PERCENT);
    }
  }
}
