package org.parsleyhead.core.membership;

import java.util.Collections;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;

/**
 * What a host may rely on: the exclusive rights that attestations between the hosts of a cell give.
 *
 * <p>For each ordered pair of hosts there are rights that belong to the first and fall to the
 * second when the list drops the first. The first uses them only before {@link #attestedUntil}; the
 * second only from {@link #claimableFrom}. So no right is ever used by two hosts at a time, whether
 * the first is dead, slow or cut off. All times are of this host's own monotonic clock.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self this host
 * @param incarnation the run of this process
 * @param version the version of the host list
 * @param members the hosts of this host's cell on that list, this one included if listed
 * @param attestedUntil for each other member: before when it will not use what belongs to this host
 * @param attestedVersion for each other member: the list version that its last attestation named
 * @param claimableFrom for each host that the list dropped: from when this host may use what falls
 *     to it
 */
public record Standing(
    HostName self,
    Incarnation incarnation,
    long version,
    SortedSet<HostName> members,
    Map<HostName, MonotonicTime> attestedUntil,
    Map<HostName, Long> attestedVersion,
    Map<HostName, MonotonicTime> claimableFrom) {

  /** Checks and copies the parts. */
  public Standing {
    Preconditions.requireNonNull(self, "self");
    Preconditions.requireNonNull(incarnation, "incarnation");
    Preconditions.requireNonNegative(version, "version");
    members = Collections.unmodifiableSortedSet(new TreeSet<>(members));
    attestedUntil = Map.copyOf(attestedUntil);
    attestedVersion = Map.copyOf(attestedVersion);
    claimableFrom = Map.copyOf(claimableFrom);
  }

  /** Tells whether another host's attestation covers an instant. */
  public boolean isAttestedBy(HostName other, MonotonicTime time) {
    MonotonicTime until = attestedUntil.get(other);
    return until != null && time.isBefore(until);
  }

  /** Tells whether all other members' attestations cover an instant. */
  public boolean isAttestedByAll(MonotonicTime time) {
    return members.stream()
        .filter(member -> !member.equals(self))
        .allMatch(member -> isAttestedBy(member, time));
  }

  /** Tells whether this host may use what falls to it from a host that the list dropped. */
  public boolean mayClaimFrom(HostName dropped, MonotonicTime time) {
    MonotonicTime from = claimableFrom.get(dropped);
    return from != null && !time.isBefore(from);
  }
}
