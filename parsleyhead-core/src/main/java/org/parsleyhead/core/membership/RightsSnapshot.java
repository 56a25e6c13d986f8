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
 * The exclusive rights of a host at one point in time, as established by attestations between the
 * hosts of its cell.
 *
 * <p>For each ordered pair of hosts there are rights that belong to the first host and pass to the
 * second when the first is removed from the host list. The first host uses them only before {@link
 * #attestedUntil}, the second only from {@link #claimableFrom} on. So two hosts never use the same
 * right at the same time, even if the first has failed, is slow or is partitioned from the others.
 * All timestamps are readings of this host's own monotonic clock.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self this host
 * @param incarnation the run of this process
 * @param version the version of the host list
 * @param members the listed hosts of this host's cell, including this host if it is listed
 * @param attestedUntil for each other member, when its attestation to this host expires; until then
 *     it does not use rights that belong to this host
 * @param attestedVersion for each other member, the list version in its last attestation
 * @param claimableFrom for each host removed from the list, the earliest time at which this host
 *     may use the rights that pass to it
 */
public record RightsSnapshot(
    HostName self,
    Incarnation incarnation,
    long version,
    SortedSet<HostName> members,
    Map<HostName, MonotonicTime> attestedUntil,
    Map<HostName, Long> attestedVersion,
    Map<HostName, MonotonicTime> claimableFrom) {

  /** Validates and copies the components. */
  public RightsSnapshot {
    Preconditions.requireNonNull(self, "self");
    Preconditions.requireNonNull(incarnation, "incarnation");
    Preconditions.requireNonNegative(version, "version");
    members = Collections.unmodifiableSortedSet(new TreeSet<>(members));
    attestedUntil = Map.copyOf(attestedUntil);
    attestedVersion = Map.copyOf(attestedVersion);
    claimableFrom = Map.copyOf(claimableFrom);
  }

  /** Returns whether another host's attestation is valid at a time. */
  public boolean isAttestedBy(HostName other, MonotonicTime time) {
    MonotonicTime until = attestedUntil.get(other);
    return until != null && time.isBefore(until);
  }

  /** Returns whether the attestations of all other members are valid at a time. */
  public boolean isAttestedByAll(MonotonicTime time) {
    return members.stream()
        .filter(member -> !member.equals(self))
        .allMatch(member -> isAttestedBy(member, time));
  }

  /**
   * Returns whether this host may use the rights that pass to it from a host removed from the list.
   */
  public boolean mayClaimFrom(HostName removed, MonotonicTime time) {
    MonotonicTime from = claimableFrom.get(removed);
    return from != null && !time.isBefore(from);
  }
}
