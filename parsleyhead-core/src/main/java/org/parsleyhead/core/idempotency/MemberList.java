package org.parsleyhead.core.idempotency;

import java.util.Collection;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The members of the cell at one version of the host list.
 *
 * <p>Immutable and thread-safe as long as nobody changes the set.
 *
 * @param version the version
 * @param members the members
 * @param activated when this host began to act under it
 */
record MemberList(long version, SortedSet<HostName> members, MonotonicTime activated) {

  int majority() {
    return members.size() / 2 + 1;
  }

  /** Tells whether so many members have gone on that the others are no majority any more. */
  boolean isSupersededBy(Collection<HostName> goneOn) {
    long counted = goneOn.stream().filter(members::contains).count();
    return counted > members.size() - majority();
  }

  /** Tells whether each majority of this list has a member in common with each of another's. */
  boolean majoritiesIntersect(MemberList other) {
    SortedSet<HostName> common = new TreeSet<>(members);
    common.retainAll(other.members);
    int fewestHere = majority() - (members.size() - common.size());
    int fewestThere = other.majority() - (other.members.size() - common.size());
    return fewestHere + fewestThere > common.size();
  }
}
