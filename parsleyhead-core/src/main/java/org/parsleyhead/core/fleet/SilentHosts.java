package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.pcollections.PMap;

/**
 * Detects hosts without contact, and forgets those that have had none for long.
 *
 * <p>Immutable and thread-safe.
 */
final class SilentHosts {

  /** Multiplies the heartbeat timeout of a host whose contacts are reported only by hubs. */
  private static final int INDIRECT_TIMEOUT_FACTOR = 4;

  private final FleetSettings settings;
  private final MembershipRules membership;

  SilentHosts(FleetSettings settings, MembershipRules membership) {
    this.settings = settings;
    this.membership = membership;
  }

  /**
   * Marks hosts as silent after the heartbeat timeout and removes them after the removal timeout.
   * Only a member that has been in contact with a majority of the members for as long may remove
   * others; otherwise the smaller side of a partition would become a fleet of its own, or would
   * remove the hosts of the larger side as the first of them is heard again.
   */
  Step<FleetState, FleetEffect> detect(FleetState state, MonotonicTime time) {
    PMap<String, HostView> hosts = state.hosts();
    FleetState next = state;
    List<FleetEffect> effects = new ArrayList<>();
    boolean changed = false;
    boolean mayRemove = membership.mayForget(state, time);
    FormerHosts former = state.former();
    ContactTimes contacts = ContactTimes.of(state, settings);
    Set<String> hubs = Set.copyOf(state.hubs());
    for (HostView host : state.hosts().values()) {
      MonotonicTime lastContact = contacts.lastContact(host);
      Duration silence = time.since(lastContact);
      if (silence.compareTo(settings.heartbeatTimeout()) <= 0) {
        continue;
      }
      if (mayRemove && silence.compareTo(settings.hostRemovalTimeout()) > 0) {
        hosts = hosts.minus(host.endpoint());
        former = former.plus(host.endpoint(), settings.seeds(), time);
        effects.add(new FleetEffect.LogEvent("host_forgotten", host.endpoint(), Optional.empty()));
        changed = true;
      } else if (host.mayRunRequests() && silence.compareTo(heartbeatTimeout(hubs, host)) > 0) {
        hosts = hosts.plus(host.endpoint(), host.asSilent(lastContact));
        next = AdapterUse.record(next, host.endpoint(), Map.of(), time);
        effects.add(new FleetEffect.LogEvent("host_silent", host.endpoint(), Optional.empty()));
        changed = true;
      }
    }
    next = next.withHosts(hosts).withFormer(former);
    if (changed) {
      effects.add(next.hostsChanged(settings.self()));
    }
    return new Step<>(next, effects);
  }

  /**
   * Returns the heartbeat timeout of a host; it is longer if contacts are reported only by hubs.
   */
  private Duration heartbeatTimeout(Set<String> hubs, HostView host) {
    boolean direct = hubs.contains(settings.self()) || hubs.contains(host.endpoint());
    return direct
        ? settings.heartbeatTimeout()
        : settings.heartbeatTimeout().multipliedBy(INDIRECT_TIMEOUT_FACTOR);
  }
}
