package org.parsleyhead.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.TreeSet;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.HostName;

@DisplayName("A share allocation")
class ShareAllocationTests {

  private static ShareAllocation allocation(long version, String... names) {
    return new ShareAllocation(version, hosts(names));
  }

  private static TreeSet<HostName> hosts(String... names) {
    TreeSet<HostName> hosts = new TreeSet<>();
    for (String name : names) {
      hosts.add(new HostName(name));
    }
    return hosts;
  }

  @Test
  @DisplayName("has a quorum of more than half of the members, or of half including the first one")
  void quorums() {
    ShareAllocation four = allocation(1, "a", "b", "c", "d");
    assertTrue(four.isQuorum(hosts("a", "d")));
    assertFalse(four.isQuorum(hosts("b", "c")));
    assertTrue(four.isQuorum(hosts("b", "c", "d")));
    assertFalse(allocation(1, "a", "b").isQuorum(hosts("a")));
  }

  @Test
  @DisplayName("is replaceable only if a quorum stays and the joining hosts are no quorum")
  void replacement() {
    ShareAllocation three = allocation(1, "a", "b", "c");
    assertTrue(three.isReplaceableBy(allocation(2, "a", "b")));
    assertTrue(three.isReplaceableBy(allocation(2, "a", "b", "d")));
    assertFalse(three.isReplaceableBy(allocation(2, "a")));
    assertFalse(three.isReplaceableBy(allocation(2, "a", "d", "e")));
    assertFalse(allocation(1, "a").isReplaceableBy(allocation(2, "a", "b", "c")));
  }

  @Test
  @DisplayName("assigns a host the smallest share of all allocations that may be in use")
  void smallestShare() {
    AllocationView installed =
        AllocationView.EMPTY.withProposed(allocation(1, "a", "b")).installLatest();
    AllocationView joining = installed.withProposed(allocation(2, "a", "b", "c"));
    assertEquals(333_333, joining.partsOf(new HostName("a")));
    assertEquals(0, joining.partsOf(new HostName("c")));
    assertEquals(333_333, joining.installLatest().partsOf(new HostName("c")));
  }

  @Test
  @DisplayName("is dropped if another host knows that a later one is installed")
  void merge() {
    AllocationView old =
        AllocationView.EMPTY.withProposed(allocation(1, "a", "b", "c")).installLatest();
    AllocationView later = old.withProposed(allocation(2, "a", "b")).installLatest();
    assertEquals(later, old.merge(later));
    assertEquals(later, later.merge(old));
    assertEquals(old, old.merge(AllocationView.EMPTY.withProposed(allocation(3, "a"))));
    assertEquals(Optional.of(allocation(2, "a", "b")), old.merge(later).installed());
  }
}
