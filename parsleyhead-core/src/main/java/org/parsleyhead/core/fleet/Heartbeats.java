package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;

/**
 * Decides which hosts receive a heartbeat, and with what content.
 *
 * <p>Immutable and thread-safe.
 */
final class Heartbeats {

  /** How long heartbeats report the adapters of an owned instance after a change. */
  private static final Duration REPORT_DISTRIBUTION_TIME = Duration.ofMillis(1500);

  /**
   * Multiple of the interval after which a host sends a heartbeat to a hub from which it has heard
   * none; its heartbeats usually answer those of the hub.
   */
  private static final double UNANSWERED_INTERVAL_FACTOR = 1.5;

  private static final FleetTotals NO_TOTALS = new FleetTotals(Map.of(), Map.of());

  private final FleetSettings settings;
  private final Leases leases;
  private final MembershipRules membership;
  private final HostIdentity self;

  Heartbeats(FleetSettings settings, Leases leases, MembershipRules membership) {
    this.settings = settings;
    this.leases = leases;
    this.membership = membership;
    this.self = HostIdentity.of(settings.self());
  }

  /** Sends the heartbeats that are due. */
  Step<FleetState, FleetEffect> send(FleetState state, FleetEvent.Tick tick, MonotonicTime time) {
    List<String> hubs = state.hubs();
    boolean hub = hubs.contains(settings.self());
    List<HostView> due = due(state, hub, time);
    if (due.isEmpty()) {
      return Step.of(state);
    }
    List<String> claims = leases.claims(state, time);
    LocalState local = state.local().withNextHeartbeat(claims, time);
    FleetState next = state.withLocal(local);
    long digest = state.membershipDigest(self);
    Map<String, HostSummary> summaries =
        due.stream()
                .allMatch(
                    host -> host.exchange().reportedDigest() == digest && host.standing().member())
            ? Map.of()
            : hostSummaries(state, time);
    FleetTotals totals = hub ? FleetTotals.of(state, tick) : NO_TOTALS;
    boolean contested = membership.contested(state, time);
    List<AdapterReport> reports = reports(state, time);
    List<FleetEffect> effects = new ArrayList<>();
    effects.add(new FleetEffect.ReaderRole(hub));
    reports.forEach(report -> effects.add(new FleetEffect.AdaptersReported(report)));
    for (HostView host : due) {
      boolean toHub = hubs.contains(host.endpoint());
      boolean assigned = assigned(host.endpoint(), hubs);
      boolean counted = state.hosts().containsKey(host.endpoint());
      boolean listsHosts =
          counted
              && (toHub || assigned)
              && (host.exchange().reportedDigest() != digest || !host.standing().member());
      FleetTotals otherTotals =
          assigned ? totals.without(state.statistics().get(host.endpoint())) : NO_TOTALS;
      Heartbeat heartbeat =
          new Heartbeat(
              local.lastNonce(),
              settings.self(),
              local.leaving(),
              tick.era(),
              tick.revision(),
              local.highestFence(),
              local.membership().known(),
              contested,
              settings.capacityPercent(),
              digest,
              listsHosts ? summaries : Map.of(),
              claims,
              List.copyOf(state.engines().keySet()),
              assigned,
              toHub ? tick.admittedUnits() : otherTotals.admittedUnits(),
              toHub ? tick.loads() : otherTotals.loads(),
              adapterRequestsAt(host, tick.adapterRequests()),
              reports,
              host.exchange().answer());
      effects.add(new FleetEffect.SendMessage(host.endpoint(), heartbeat));
      next = withSent(next, host, hub, time);
    }
    return new Step<>(next, effects);
  }

  /** Returns the hosts that are due for a heartbeat, with those former hosts that are. */
  private List<HostView> due(FleetState state, boolean hub, MonotonicTime time) {
    List<String> hubs = state.hubs();
    Stream<HostView> known =
        state.hosts().values().stream()
            .filter(host -> hub || hubs.contains(host.endpoint()))
            .filter(host -> !time.isBefore(host.exchange().nextAt()));
    Stream<HostView> former =
        hub
            ? state.former().due(time).stream().map(endpoint -> HostView.discovered(endpoint, time))
            : Stream.empty();
    return Stream.concat(known, former).toList();
  }

  /** Returns whether this host is the hub that sends a host totals and the list of hosts. */
  private boolean assigned(String endpoint, List<String> hubs) {
    return !hubs.contains(endpoint)
        && Hubs.assignedHub(endpoint, hubs).equals(Optional.of(settings.self()));
  }

  private FleetState withSent(FleetState state, HostView host, boolean hub, MonotonicTime time) {
    return state.hosts().containsKey(host.endpoint())
        ? state.withHost(
            host.withExchange(host.exchange().withSent(time.plus(interval(state, host, hub)))))
        : state.withFormer(state.former().withSent(host.endpoint(), settings.seeds(), time));
  }

  private Duration interval(FleetState state, HostView host, boolean hub) {
    if (!host.alive()) {
      return settings.probeInterval();
    }
    if (!state.large()) {
      return settings.heartbeatInterval();
    }
    return hub
        ? settings.probeInterval()
        : Duration.ofNanos(
            (long) (settings.probeInterval().toNanos() * UNANSWERED_INTERVAL_FACTOR));
  }

  private static List<AdapterReport> reports(FleetState state, MonotonicTime time) {
    List<AdapterReport> reports = new ArrayList<>();
    state
        .engines()
        .forEach(
            (identifier, engine) -> {
              Instance instance = state.instances().get(identifier);
              boolean recent =
                  time.since(engine.changedAt()).compareTo(REPORT_DISTRIBUTION_TIME) < 0;
              if (engine.reported() && recent && instance != null) {
                reports.add(report(state, instance, engine, time));
              }
            });
    return reports;
  }

  private static AdapterReport report(
      FleetState state, Instance instance, OwnedEngine engine, MonotonicTime time) {
    Map<AdapterKey, Long> adapters = new HashMap<>();
    engine
        .slots()
        .forEach(
            (adapter, slot) -> {
              if (!time.isBefore(slot.readyAt())) {
                adapters.put(adapter, slot.version());
              }
            });
    return new AdapterReport(
        instance.identifier(),
        instance.startedAtMilliseconds(),
        engine.orderCount(),
        engine.models(),
        adapters,
        state
            .profile(instance)
            .map(profile -> SlotEviction.freeSlots(engine, profile.adapterSlots(), time))
            .orElse(AdapterReport.UNKNOWN_SLOTS));
  }

  private static Map<String, Map<AdapterKey, Integer>> adapterRequestsAt(
      HostView host, Map<String, Map<AdapterKey, Integer>> requests) {
    Map<String, Map<AdapterKey, Integer>> owned = new HashMap<>();
    for (String instance : host.heldInstances()) {
      Map<AdapterKey, Integer> adapters = requests.get(instance);
      if (adapters != null) {
        owned.put(instance, adapters);
      }
    }
    return owned;
  }

  private Map<String, HostSummary> hostSummaries(FleetState state, MonotonicTime time) {
    ContactTimes contacts = ContactTimes.of(state, settings);
    Map<String, HostSummary> summaries = new HashMap<>();
    state
        .hosts()
        .values()
        .forEach(
            host ->
                summaries.put(
                    host.endpoint(),
                    new HostSummary(
                        Math.max(0, time.since(contacts.lastContact(host)).toMillis()),
                        host.capacityPercent(),
                        host.standing().member())));
    return summaries;
  }
}
