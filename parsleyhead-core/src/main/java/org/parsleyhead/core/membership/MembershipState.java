package org.parsleyhead.core.membership;

import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * What one host knows of the others.
 *
 * <p>Immutable and thread-safe.
 */
public final class MembershipState {

  private final MembershipSettings settings;
  private final HostList list;
  private final RightsState rights;
  private final LivenessState liveness;
  private final long sequence;
  private final Standing standing;

  private MembershipState(
      MembershipSettings settings,
      HostList list,
      RightsState rights,
      LivenessState liveness,
      long sequence,
      Standing standing) {
    this.settings = settings;
    this.list = list;
    this.rights = rights;
    this.liveness = liveness;
    this.sequence = sequence;
    this.standing = standing;
  }

  /** Returns the state of a process that starts: no host list, no rights. */
  public static MembershipState initial(MembershipSettings settings, MonotonicTime time) {
    RightsState rights = RightsState.initial(time);
    return new MembershipState(
        settings,
        HostList.EMPTY,
        rights,
        LivenessState.initial(time),
        0,
        standingOf(settings, HostList.EMPTY, rights));
  }

  /** Returns the newest host list that was read. */
  public HostList hostList() {
    return list;
  }

  /** Returns the rights of this host. */
  public Standing standing() {
    return standing;
  }

  /** Returns the opinion on another host. */
  public Liveness liveness(HostName host) {
    return liveness.opinionOn(host).liveness();
  }

  /** Returns the listed hosts, this one included, that are not suspected or failed. */
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

  /** Returns the members of this host's cell; none if the list lacks this host. */
  SortedSet<HostName> members() {
    return membersOf(settings, list);
  }

  /** Returns all listed hosts but this one. */
  List<HostName> others() {
    return list.hosts().stream()
        .map(HostEntry::name)
        .filter(host -> !host.equals(settings.self()))
        .toList();
  }

  MembershipState withList(HostList newer) {
    return new MembershipState(settings, newer, rights, liveness, sequence, standing);
  }

  MembershipState withRights(RightsState changed) {
    return new MembershipState(settings, list, changed, liveness, sequence, standing);
  }

  MembershipState withLiveness(LivenessState changed) {
    return new MembershipState(settings, list, rights, changed, sequence, standing);
  }

  /** Returns this state with the standing that follows from its rights. */
  MembershipState withCurrentStanding() {
    Standing current = standingOf(settings, list, rights);
    if (current.equals(standing)) {
      return this;
    }
    long next = sequence + 1;
    RightsState noted =
        rights.withApplied(
            rights.versions().plus(next, list.version()),
            rights.appliedVersion(),
            rights.appliedSequence());
    return new MembershipState(settings, list, noted, liveness, next, current);
  }

  static SortedSet<HostName> membersOf(MembershipSettings settings, HostList list) {
    return list.find(settings.self())
        .map(self -> list.membersOf(self.cell()))
        .orElseGet(TreeSet::new);
  }

  private static Standing standingOf(
      MembershipSettings settings, HostList list, RightsState rights) {
    return new Standing(
        settings.self(),
        settings.incarnation(),
        list.version(),
        membersOf(settings, list),
        rights.attestedUntil(),
        rights.attestedVersion(),
        rights.claimableFrom());
  }
}
