package org.parsleyhead.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The right to send to a cold server")
class ColdSendsTests {

  private static final List<String> HOSTS =
      IntStream.range(0, 70).mapToObj(host -> "10.0.0." + host + ":7000").toList();

  private static ColdSends host(String name) {
    return new ColdSends(new PlacementSettings(name, true));
  }

  @Test
  @DisplayName("belongs to two of the live hosts, spread over all of them")
  void shares() {
    long holders = 0;
    for (int server = 0; server < 100; server++) {
      String name = "s-" + server;
      assertEquals(2, HOSTS.stream().filter(self -> host(self).hasShare(name, HOSTS, 70)).count());
      holders += host(HOSTS.get(0)).hasShare(name, HOSTS, 70) ? 1 : 0;
    }
    assertTrue(holders < 10, "one host has a share of " + holders + " of 100 servers");
  }

  @Test
  @DisplayName("passes to one other host if a host ends, and the second keeps its share")
  void handover() {
    List<String> before =
        HOSTS.stream().filter(self -> host(self).hasShare("s", HOSTS, 70)).toList();
    List<String> live = HOSTS.stream().filter(self -> !self.equals(before.get(0))).toList();
    List<String> after = live.stream().filter(self -> host(self).hasShare("s", live, 70)).toList();
    assertEquals(2, after.size());
    assertTrue(after.contains(before.get(1)));
  }

  @Test
  @DisplayName("requires a majority of the known hosts, so that one side of a partition has it")
  void majority() {
    List<String> half = HOSTS.subList(0, 35);
    assertEquals(2, half.stream().filter(self -> host(self).hasShare("s", half, 69)).count());
    assertEquals(0, half.stream().filter(self -> host(self).hasShare("s", half, 70)).count());
  }

  @Test
  @DisplayName("requires that the fleet is known, unless there is no other host")
  void start() {
    assertFalse(host("self").hasShare("s", List.of(), 1));
    assertTrue(new ColdSends(new PlacementSettings("self", false)).hasShare("s", List.of(), 1));
  }

  @Test
  @DisplayName("permits each of the two hosts four tenths of the rate")
  void interval() {
    assertEquals(Duration.ofMillis(250), ColdSends.interval(10));
    assertEquals(Duration.ofMinutes(10), ColdSends.interval(Double.MIN_VALUE));
  }
}
