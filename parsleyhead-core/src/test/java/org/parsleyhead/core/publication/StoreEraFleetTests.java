package org.parsleyhead.core.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A fleet of hosts whose store is restored from a copy")
class StoreEraFleetTests {

  /** The time within which the operators want a configuration in force. */
  private static final Duration IN_FORCE = Duration.ofSeconds(3);

  private static final Duration CONFIRMATION = PublicationSettings.DEFAULT.confirmationTime();
  private static final int SERVERS = 12;

  private final Map<String, String> written = new TreeMap<>();
  private FakePublicationFleet fleet;
  private int configuration = 1;
  private int announcement = 1;

  private void start(long seed, int size) {
    fleet = new FakePublicationFleet(seed, size, 0.05, PublicationSettings.DEFAULT);
    for (int index = 0; index < SERVERS; index++) {
      write("servers/" + index, "ready 7." + announcement);
    }
    write("op/config", "keys 1.0");
    fleet.run(Duration.ofSeconds(4));
    assertInForce();
  }

  private void write(String key, String value) {
    written.put(key, value);
    fleet.store().change(key, Optional.of(value));
  }

  private void delete(String key) {
    written.remove(key);
    fleet.store().change(key, Optional.empty());
  }

  /** Each server announces itself about once per second. */
  private void runWithAnnouncements(Duration duration) {
    for (long second = 0; second < duration.toSeconds(); second++) {
      announceAll();
      fleet.run(Duration.ofSeconds(1));
    }
  }

  private void announceAll() {
    announcement++;
    for (String key : Set.copyOf(written.keySet())) {
      if (key.startsWith("servers/")) {
        write(key, written.get(key).split(" ")[0] + " 7." + announcement);
      }
    }
  }

  /** Writes what the restored store lacks, and deletes what it still has. */
  private void writeAgain() {
    Map<String, PublishedItem> stored = Map.copyOf(fleet.store().items());
    stored.keySet().stream().filter(key -> !written.containsKey(key)).forEach(this::delete);
    write("op/config", "keys " + configuration + ".0");
    announceAll();
  }

  private void changeConfiguration() {
    configuration++;
    write("op/config", "keys " + configuration + ".0");
  }

  private void assertInForce() {
    for (String host : fleet.hostNames()) {
      assertEquals(written, fleet.inForce(host), host);
    }
  }

  /** Asserts that no host has gone back behind what was in force before a rollback. */
  private void assertNotReverted(String removed) {
    for (String host : fleet.hostNames()) {
      Map<String, String> inForce = fleet.inForce(host);
      assertEquals("keys " + configuration + ".0", inForce.get("op/config"), host);
      assertTrue(!inForce.containsKey(removed), host + " has " + removed + " again");
      assertTrue(inForce.keySet().containsAll(written.keySet()), host + " lacks an item");
    }
  }

  // Guards against withdrawn keys, removed servers and lost announcements for each age of a copy.
  @ParameterizedTest(name = "{0} hosts, {1} s")
  @CsvSource({"6, 1", "6, 20", "40, 1", "40, 20"})
  @DisplayName("reverts nothing, and takes what is written again in time")
  void revertsNothing(int size, int seconds) {
    start(size + seconds, size);
    final FakeStore.Copy copy = fleet.store().copy();
    changeConfiguration();
    delete("servers/3");
    write("servers/new", "ready 7." + announcement);
    runWithAnnouncements(Duration.ofSeconds(seconds));
    fleet.run(Duration.ofSeconds(1));
    fleet.store().rollBack(copy);
    for (int step = 0; step < 30; step++) {
      fleet.run(Duration.ofMillis(100));
      assertNotReverted("servers/3");
    }
    assertTrue(fleet.hostNames().stream().allMatch(host -> fleet.era(host) == 1));
    writeAgain();
    changeConfiguration();
    fleet.run(IN_FORCE);
    assertInForce();
    runWithAnnouncements(CONFIRMATION.plusSeconds(3));
    fleet.run(IN_FORCE);
    assertInForce();
  }

  @Test
  @DisplayName("reverts nothing after two rollbacks in a row")
  void survivesTwoRollbacks() {
    start(7, 9);
    final FakeStore.Copy copy = fleet.store().copy();
    changeConfiguration();
    delete("servers/3");
    fleet.run(Duration.ofSeconds(2));
    fleet.store().rollBack(copy);
    fleet.run(Duration.ofMillis(700));
    fleet.store().rollBack(copy);
    fleet.run(Duration.ofSeconds(3));
    assertNotReverted("servers/3");
    assertTrue(fleet.hostNames().stream().allMatch(host -> fleet.era(host) == 2));
    writeAgain();
    fleet.run(IN_FORCE);
    assertInForce();
  }

  // Guards against a host that comes back with the former era and spreads its copy.
  @Test
  @DisplayName("takes the era to a host that hears of it seconds late")
  void reachesLateHost() {
    start(8, 9);
    final FakeStore.Copy copy = fleet.store().copy();
    changeConfiguration();
    delete("servers/3");
    fleet.run(Duration.ofSeconds(2));
    String late = fleet.hostNames().get(1);
    fleet.isolate(late, true);
    fleet.store().rollBack(copy);
    fleet.run(Duration.ofSeconds(2));
    writeAgain();
    fleet.run(Duration.ofSeconds(4));
    assertEquals(0, fleet.era(late));
    fleet.isolate(late, false);
    fleet.run(IN_FORCE);
    assertEquals(1, fleet.era(late));
    assertInForce();
  }

  // Guards against a host that stays in the former era because it cannot read from the store.
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {21, 22, 23})
  @DisplayName("takes the era to hosts for which the store is silent")
  void reachesHostWithoutStore(long seed) {
    start(seed, 9);
    final FakeStore.Copy copy = fleet.store().copy();
    changeConfiguration();
    fleet.run(Duration.ofSeconds(2));
    fleet.silenceStore(Set.of(fleet.hostNames().get(0), fleet.hostNames().get(8)));
    fleet.store().rollBack(copy);
    fleet.run(Duration.ofSeconds(1));
    writeAgain();
    fleet.run(IN_FORCE);
    assertInForce();
  }

  // Guards against a stopping host that forgets the servers of its unfinished requests.
  @Test
  @DisplayName("reverts nothing while a host stops as planned and another one starts")
  void survivesStopAndStart() {
    start(9, 9);
    final FakeStore.Copy copy = fleet.store().copy();
    changeConfiguration();
    fleet.run(Duration.ofSeconds(2));
    final String stopping = fleet.hostNames().get(0);
    fleet.store().rollBack(copy);
    fleet.run(Duration.ofSeconds(1));
    assertNotReverted("none");
    fleet.kill(stopping);
    writeAgain();
    fleet.run(IN_FORCE);
    fleet.start(stopping);
    fleet.run(IN_FORCE);
    assertInForce();
  }

  // Guards against a new host that serves by the restored copy until it is written again.
  @ParameterizedTest(name = "{0} hosts")
  @ValueSource(ints = {6, 40})
  @DisplayName("tells a host that starts after the rollback what remains in force")
  void tellsNewHost(int size) {
    start(10, size);
    final FakeStore.Copy copy = fleet.store().copy();
    changeConfiguration();
    delete("servers/3");
    write("servers/new", "ready 7." + announcement);
    fleet.run(Duration.ofSeconds(2));
    fleet.store().rollBack(copy);
    fleet.run(Duration.ofSeconds(2));
    fleet.start(fleet.hostNames().get(0));
    fleet.start(fleet.hostNames().get(size - 1));
    fleet.run(Duration.ofSeconds(2));
    assertNotReverted("servers/3");
    writeAgain();
    fleet.run(IN_FORCE);
    assertInForce();
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {31, 32, 33, 34, 35, 36})
  @DisplayName("holds what the store has after random changes, faults and rollbacks")
  void convergesAfterRandomRollbacks(long seed) {
    Random random = new Random(seed);
    start(seed, 9);
    for (int round = 0; round < 12; round++) {
      FakeStore.Copy copy = fleet.store().copy();
      for (int step = random.nextInt(6); step >= 0; step--) {
        changeConfiguration();
        String key = "servers/" + random.nextInt(SERVERS);
        announcement++;
        if (written.containsKey(key) && random.nextBoolean()) {
          delete(key);
        } else {
          write(key, "ready 7." + announcement);
        }
        fleet.run(Duration.ofMillis(200 + random.nextInt(800)));
      }
      String host = fleet.hostNames().get(random.nextInt(9));
      switch (random.nextInt(3)) {
        case 0 -> fleet.freeze(host, Duration.ofMillis(random.nextInt(2_500)));
        case 1 -> fleet.silenceStore(Set.of(host));
        default -> fleet.silenceStore(Set.of());
      }
      fleet.store().rollBack(copy);
      fleet.run(Duration.ofMillis(random.nextInt(1_500)));
      writeAgain();
    }
    fleet.silenceStore(Set.of());
    runWithAnnouncements(CONFIRMATION.plusSeconds(3));
    fleet.run(IN_FORCE);
    assertInForce();
  }
}
