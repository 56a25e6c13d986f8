package org.parsleyhead.core.membership;

import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The membership state of one host: the host list, its exclusive rights and the liveness of the
 * other hosts.
 *
 * <p>Immutable and thread-safe.
 */
public final class MembershipState {

  private final MembershipSettings settings;
  private final HostList list;
  private final RightsState rights;
  private final LivenessState liveness;
  private final long sequence;
  private final RightsSnapshot rightsSnapshot;

  private MembershipState(
      MembershipSettings settings,
      HostList list,
      RightsState rights,
      LivenessState liveness,
      long sequence,
      RightsSnapshot rightsSnapshot) {
    this.settings = settings;
    this.list = list;
    this.rights = rights;
    this.liveness = liveness;
    this.sequence = sequence;
    this.rightsSnapshot = rightsSnapshot;
  }

  /** Returns the initial state of a process: no host list and no rights. */
  public static MembershipState initial(MembershipSettings settings, MonotonicTime time) {
    RightsState rights = RightsState.initial(time);
    return new MembershipState(
        settings,
        HostList.EMPTY,
        rights,
        LivenessState.initial(time),
        0,
        snapshotOf(settings, HostList.EMPTY, rights));
  }

  /** Returns the newest host list that this host has read. */
  public HostList hostList() {
    return list;
  }

  /** Returns the rights of this host. */
  public RightsSnapshot rightsSnapshot() {
    return rightsSnapshot;
  }

  /** Returns whether this host considers another host alive, suspected or failed. */
  public Liveness liveness(HostName host) {
    return liveness.latestUpdate(host).liveness();
  }

  /** Returns the listed hosts, including this one, that are neither suspected nor failed. */
  public Set<HostName> aliveHosts() {
    return list.hosts().stream()
        .map(HostEntry::name)
        .filter(host -> liveness(host) == Liveness.ALIVE)
        .collect(Collectors.toUnmodifiableSet());
  }

  RightsState rights() {
    return rights;
  }

  LivenessState livenessState() {
    return liveness;
  }

  long sequence() {
    return sequence;
  }

  /** Returns the members of this host's cell; empty if this host is not listed. */
  SortedSet<HostName> members() {
    return membersOf(settings, list);
  }

  /** Returns all listed hosts except this one. */
  List<HostName> others() {
    return list.hosts().stream()
        .map(HostEntry::name)
        .filter(host -> !host.equals(settings.self()))
        .toList();
  }

  MembershipState withList(HostList newer) {
    return new MembershipState(settings, newer, rights, liveness, sequence, rightsSnapshot);
  }

  MembershipState withRights(RightsState changed) {
    return new MembershipState(settings, list, changed, liveness, sequence, rightsSnapshot);
  }

  MembershipState withLiveness(LivenessState changed) {
    return new MembershipState(settings, list, rights, changed, sequence, rightsSnapshot);
  }

  /**
   * Returns this state with its rights snapshot recomputed; a changed snapshot gets the next
   * sequence number.
   */
  MembershipState withCurrentSnapshot() {
    RightsSnapshot current = snapshotOf(settings, list, rights);
    if (current.equals(rightsSnapshot)) {
      return this;
    }
    long next = sequence + 1;
    RightsState updated =
        rights.withApplied(
            rights.unappliedVersions().plus(next, list.version()),
            rights.appliedVersion(),
            rights.appliedSequence());
    return new MembershipState(settings, list, updated, liveness, next, current);
  }

  static SortedSet<HostName> membersOf(MembershipSettings settings, HostList list) {
    return list.find(settings.self())
        .map(self -> list.membersOf(self.cell()))
        .orElseGet(TreeSet::new);
  }

  private static RightsSnapshot snapshotOf(
      MembershipSettings settings, HostList list, RightsState rights) {
    return new RightsSnapshot(
        settings.self(),
        settings.incarnation(),
        list.version(),
        membersOf(settings, list),
        rights.attestedUntil(),
        rights.attestedVersion(),
        rights.claimableFrom());
  }
}
