package org.parsleyhead.core.idempotency;

import java.util.Collection;
import java.util.SortedSet;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The members of the cell at one version of the host list.
 *
 * <p>Immutable and thread-safe provided that the set of members is not modified.
 *
 * @param version the version of the host list
 * @param members the members
 * @param activatedAt when this host started to act under this version
 */
record MemberList(long version, SortedSet<HostName> members, MonotonicTime activatedAt) {

  /** Returns the smallest number of members that forms a majority. */
  int majority() {
    return members.size() / 2 + 1;
  }

  /**
   * Returns whether so many members act under a newer version that the others no longer form a
   * majority.
   */
  boolean isSupersededBy(Collection<HostName> movedOn) {
    long counted = movedOn.stream().filter(members::contains).count();
    return counted > members.size() - majority();
  }

  /** Returns whether each majority of this list shares a member with each majority of another. */
  boolean majoritiesIntersect(MemberList other) {
    SortedSet<HostName> common = new TreeSet<>(members);
    common.retainAll(other.members);
    int minimumHere = majority() - (members.size() - common.size());
    int minimumThere = other.majority() - (other.members.size() - common.size());
    return minimumHere + minimumThere > common.size();
  }
}
