package org.parsleyhead.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.TreeSet;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.HostName;

@DisplayName("A cut")
class CutTests {

  private static Cut cut(long version, String... names) {
    return new Cut(version, hosts(names));
  }

  private static TreeSet<HostName> hosts(String... names) {
    TreeSet<HostName> hosts = new TreeSet<>();
    for (String name : names) {
      hosts.add(new HostName(name));
    }
    return hosts;
  }

  @Test
  @DisplayName("has quorums of more than half, or of half with the first member")
  void quorums() {
    Cut four = cut(1, "a", "b", "c", "d");
    assertTrue(four.isQuorum(hosts("a", "d")));
    assertFalse(four.isQuorum(hosts("b", "c")));
    assertTrue(four.isQuorum(hosts("b", "c", "d")));
    assertFalse(cut(1, "a", "b").isQuorum(hosts("a")));
  }

  @Test
  @DisplayName("is replaced only if a quorum stays and those who join are none")
  void replacement() {
    Cut three = cut(1, "a", "b", "c");
    assertTrue(three.isReplaceableBy(cut(2, "a", "b")));
    assertTrue(three.isReplaceableBy(cut(2, "a", "b", "d")));
    assertFalse(three.isReplaceableBy(cut(2, "a")));
    assertFalse(three.isReplaceableBy(cut(2, "a", "d", "e")));
    assertFalse(cut(1, "a").isReplaceableBy(cut(2, "a", "b", "c")));
  }

  @Test
  @DisplayName("gives a host the smallest share of all cuts that may be in use")
  void smallestShare() {
    CutView installed = CutView.EMPTY.hear(cut(1, "a", "b")).installLatest();
    CutView joining = installed.hear(cut(2, "a", "b", "c"));
    assertEquals(333_333, joining.partsOf(new HostName("a")));
    assertEquals(0, joining.partsOf(new HostName("c")));
    assertEquals(333_333, joining.installLatest().partsOf(new HostName("c")));
  }

  @Test
  @DisplayName("out of use is forgotten when another host knows a later one to be installed")
  void merge() {
    CutView old = CutView.EMPTY.hear(cut(1, "a", "b", "c")).installLatest();
    CutView later = old.hear(cut(2, "a", "b")).installLatest();
    assertEquals(later, old.merge(later));
    assertEquals(later, later.merge(old));
    assertEquals(old, old.merge(CutView.EMPTY.hear(cut(3, "a"))));
    assertEquals(Optional.of(cut(2, "a", "b")), old.merge(later).base());
  }
}
