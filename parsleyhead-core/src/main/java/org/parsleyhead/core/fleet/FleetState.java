package org.parsleyhead.core.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterVersions;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What this host knows of the fleet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param clocks the times and numbers that were last drawn
 * @param hubs the hubs as of the last tick
 * @param hosts the other hosts, by their endpoints
 * @param figures what the other hosts reported of themselves
 * @param votes the votes that bind this host, by instance
 * @param leases the claims of this host, by instance
 * @param engines the model servers that this host gives orders to
 * @param published what the platform has published
 */
public record FleetState(
    Clocks clocks,
    List<String> hubs,
    PMap<String, HostView> hosts,
    PMap<String, HostFigures> figures,
    PMap<String, Vote> votes,
    PMap<String, Lease> leases,
    PMap<String, OwnedEngine> engines,
    Published published) {

  /**
   * Returns the state of a host that has just started.
   *
   * @param settings the numbers, with the first hosts to talk to
   * @param first whether the whole fleet starts for the first time, so that no order was given yet
   * @param time the time of the start
   */
  public static FleetState initial(FleetSettings settings, boolean first, MonotonicTime time) {
    PMap<String, HostView> hosts = HashTreePMap.empty();
    for (String seed : settings.seeds()) {
      if (!seed.equals(settings.self())) {
        hosts = hosts.plus(seed, HostView.unheard(seed, time));
      }
    }
    return new FleetState(
        new Clocks(
            time.plus(settings.silenceLimit()),
            time.plus(
                first
                    ? settings.silenceLimit().multipliedBy(2)
                    : settings.forgetAfter().dividedBy(2)),
            false,
            first ? time : time.plus(settings.voteTime()),
            0,
            0,
            0,
            0,
            false,
            HashTreePMap.empty()),
        List.of(settings.self()),
        hosts,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        new Published(HashTreePMap.empty(), ServiceCatalogue.EMPTY, AdapterVersions.NONE));
  }

  /** Returns the endpoints of the live hosts. */
  public List<String> liveHosts() {
    return hosts.values().stream().filter(HostView::alive).map(HostView::endpoint).toList();
  }

  /** Returns the number of hosts that count for majorities, this one included. */
  public int knownHosts() {
    return hosts.size() + 1;
  }

  /** Returns the identifiers of the instances whose lease this host holds. */
  public Collection<String> ownedInstances() {
    return engines.keySet();
  }

  PMap<String, Instance> instances() {
    return published.instances();
  }

  ServiceCatalogue catalogue() {
    return published.catalogue();
  }

  AdapterVersions versions() {
    return published.versions();
  }

  int majority() {
    return knownHosts() / 2 + 1;
  }

  Optional<EngineProfile> profile(Instance instance) {
    return catalogue().service(instance.service()).flatMap(ServiceDefinition::engine);
  }

  /** Returns the live host that says to hold the lease of an instance. */
  Optional<String> holder(String instance) {
    return hosts.values().stream()
        .filter(host -> host.alive() && host.held().contains(instance))
        .map(HostView::endpoint)
        .findFirst();
  }

  /** Returns the instances that this host or another live one gives orders to. */
  Set<String> ownedByAny() {
    Set<String> owned = ownedByOthers();
    owned.addAll(engines.keySet());
    return owned;
  }

  /** Returns the instances that other live hosts give orders to; the caller may change the set. */
  Set<String> ownedByOthers() {
    Set<String> owned = new HashSet<>();
    for (HostView host : hosts.values()) {
      if (host.alive()) {
        owned.addAll(host.held());
      }
    }
    return owned;
  }

  FleetState withClocks(Clocks next) {
    return new FleetState(next, hubs, hosts, figures, votes, leases, engines, published);
  }

  FleetState withHosts(PMap<String, HostView> next) {
    return new FleetState(clocks, hubs, next, figures, votes, leases, engines, published);
  }

  FleetState withHubs(List<String> next) {
    return new FleetState(clocks, next, hosts, figures, votes, leases, engines, published);
  }

  FleetState withFigures(PMap<String, HostFigures> next) {
    return new FleetState(clocks, hubs, hosts, next, votes, leases, engines, published);
  }

  FleetState withHost(HostView host) {
    return withHosts(hosts.plus(host.endpoint(), host));
  }

  FleetState withVotes(PMap<String, Vote> next) {
    return new FleetState(clocks, hubs, hosts, figures, next, leases, engines, published);
  }

  FleetState withLeases(PMap<String, Lease> next) {
    return new FleetState(clocks, hubs, hosts, figures, votes, next, engines, published);
  }

  FleetState withEngines(PMap<String, OwnedEngine> next) {
    return new FleetState(clocks, hubs, hosts, figures, votes, leases, next, published);
  }

  FleetState withEngine(String instance, OwnedEngine engine) {
    return withEngines(engines.plus(instance, engine));
  }

  FleetState withInstances(PMap<String, Instance> next) {
    return withPublished(new Published(next, catalogue(), versions()));
  }

  FleetState withCatalogue(ServiceCatalogue next) {
    return withPublished(new Published(instances(), next, versions()));
  }

  FleetState withVersions(AdapterVersions next) {
    return withPublished(new Published(instances(), catalogue(), next));
  }

  private FleetState withPublished(Published next) {
    return new FleetState(clocks, hubs, hosts, figures, votes, leases, engines, next);
  }

  /**
   * What the platform has published.
   *
   * <p>Immutable and thread-safe.
   *
   * @param instances the announced instances
   * @param catalogue the catalogue in force
   * @param versions the newest declared versions of the adapters
   */
  record Published(
      PMap<String, Instance> instances, ServiceCatalogue catalogue, AdapterVersions versions) {}

  /**
   * The times and numbers of this host.
   *
   * @param listensUntil until when this host only hears which hosts there are
   * @param claimsFrom when this host may claim, whatever it has heard
   * @param established whether this host has surely heard which hosts there are
   * @param votesFrom when this host may vote; a restarted one has forgotten what binds it
   * @param wallClockMillis the time of day at the last tick
   * @param highestFence the highest fencing number that is known
   * @param lastNonce the number of the last heartbeat
   * @param lastOrder the number of the last order
   * @param leaving whether this process is about to stop
   * @param sentAt when the recent heartbeats were sent
   */
  record Clocks(
      MonotonicTime listensUntil,
      MonotonicTime claimsFrom,
      boolean established,
      MonotonicTime votesFrom,
      long wallClockMillis,
      long highestFence,
      long lastNonce,
      long lastOrder,
      boolean leaving,
      PMap<Long, MonotonicTime> sentAt) {

    Clocks tick(long wallClock) {
      return new Clocks(
          listensUntil,
          claimsFrom,
          established,
          votesFrom,
          wallClock,
          highestFence,
          lastNonce,
          lastOrder,
          leaving,
          sentAt);
    }

    Clocks fence(long fence) {
      return fence <= highestFence
          ? this
          : new Clocks(
              listensUntil,
              claimsFrom,
              established,
              votesFrom,
              wallClockMillis,
              fence,
              lastNonce,
              lastOrder,
              leaving,
              sentAt);
    }

    Clocks heartbeat(MonotonicTime time) {
      PMap<Long, MonotonicTime> next = sentAt.plus(lastNonce + 1, time);
      return new Clocks(
          listensUntil,
          claimsFrom,
          established,
          votesFrom,
          wallClockMillis,
          highestFence,
          lastNonce + 1,
          lastOrder,
          leaving,
          next.minus(lastNonce + 1 - REMEMBERED_HEARTBEATS));
    }

    Clocks order() {
      return new Clocks(
          listensUntil,
          claimsFrom,
          established,
          votesFrom,
          wallClockMillis,
          highestFence,
          lastNonce,
          lastOrder + 1,
          leaving,
          sentAt);
    }

    Clocks establish() {
      return new Clocks(
          listensUntil,
          claimsFrom,
          true,
          votesFrom,
          wallClockMillis,
          highestFence,
          lastNonce,
          lastOrder,
          leaving,
          sentAt);
    }

    /** Tells whether this host may claim. */
    boolean mayClaim(MonotonicTime time) {
      return !leaving
          && !time.isBefore(listensUntil)
          && (established || !time.isBefore(claimsFrom));
    }

    Clocks leave() {
      return new Clocks(
          listensUntil,
          claimsFrom,
          established,
          votesFrom,
          wallClockMillis,
          highestFence,
          lastNonce,
          lastOrder,
          true,
          sentAt);
    }

    /** Heartbeats whose answers still count; more than are sent in the time of a lease. */
    private static final long REMEMBERED_HEARTBEATS = 32;
  }
}
