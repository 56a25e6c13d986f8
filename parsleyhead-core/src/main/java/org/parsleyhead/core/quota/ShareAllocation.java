package org.parsleyhead.core.quota;

import java.util.Collection;
import java.util.Collections;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * An allocation of the limits of all client accounts to the members of a cell, in equal shares.
 *
 * <p>Immutable and thread-safe. Any two quorums of an allocation have a member in common. Ordered
 * by version.
 *
 * @param version the version of the host list that defines the members
 * @param members the members, at least one
 */
public record ShareAllocation(long version, SortedSet<HostName> members)
    implements Comparable<ShareAllocation> {

  /** Validates the components and copies the members. */
  public ShareAllocation {
    Preconditions.requireNonNegative(version, "version");
    Preconditions.requireNotEmpty(members, "members");
    members = Collections.unmodifiableSortedSet(new TreeSet<>(members));
  }

  /** Returns the share of a host out of {@link QuotaUnits#TOTAL_PARTS}; zero if it is no member. */
  public long partsOf(HostName host) {
    return members.contains(host) ? QuotaUnits.TOTAL_PARTS / members.size() : 0;
  }

  /**
   * Returns whether hosts form a quorum: more than half of the members, or exactly half including
   * the first member. An allocation with two members requires both, so that a single host cannot
   * continue beside a newly formed cell.
   */
  public boolean isQuorum(Collection<HostName> hosts) {
    long inside = members.stream().filter(hosts::contains).count();
    long outside = members.size() - inside;
    boolean half = inside == outside && members.size() > 2;
    return inside > outside || (half && hosts.contains(members.first()));
  }

  /**
   * Returns whether a later allocation may replace this one: it retains a quorum of this one, and
   * the joining hosts are no quorum of the later one.
   */
  public boolean isReplaceableBy(ShareAllocation later) {
    Set<HostName> joining = new TreeSet<>(later.members);
    joining.removeAll(members);
    return isQuorum(later.members) && !later.isQuorum(joining);
  }

  @Override
  public int compareTo(ShareAllocation other) {
    return Long.compare(version, other.version);
  }
}
