package org.parsleyhead.core.quota;

import java.util.Collection;
import java.util.Collections;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * A division of the limits of all client accounts among the members of a cell: each member has an
 * equal share.
 *
 * <p>Immutable and thread-safe. Any two quorums of a cut have a member in common.
 *
 * @param version the version of the host list that gave the members
 * @param members the members, at least one
 */
public record Cut(long version, SortedSet<HostName> members) implements Comparable<Cut> {

  /** Checks and copies the members. */
  public Cut {
    Preconditions.requireNonNegative(version, "version");
    Preconditions.requireNotEmpty(members, "members");
    members = Collections.unmodifiableSortedSet(new TreeSet<>(members));
  }

  /** Returns the share of a host, in parts of {@link QuotaUnits#PARTS}; zero for other hosts. */
  public long partsOf(HostName host) {
    return members.contains(host) ? QuotaUnits.PARTS / members.size() : 0;
  }

  /**
   * Tells whether hosts are more than half of the members, or half with the first member. Of two
   * members both are needed, so that no single host can go on beside a cell that was formed anew.
   */
  public boolean isQuorum(Collection<HostName> hosts) {
    long inside = members.stream().filter(hosts::contains).count();
    long outside = members.size() - inside;
    boolean half = inside == outside && members.size() > 2;
    return inside > outside || (half && hosts.contains(members.first()));
  }

  /**
   * Tells whether a later cut may replace this one: a quorum of this cut stays, and the hosts that
   * join are no quorum of the later one.
   */
  public boolean isReplaceableBy(Cut later) {
    Set<HostName> joining = new TreeSet<>(later.members);
    joining.removeAll(members);
    return isQuorum(later.members) && !later.isQuorum(joining);
  }

  @Override
  public int compareTo(Cut other) {
    return Long.compare(version, other.version);
  }
}
