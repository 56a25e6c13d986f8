package org.parsleyhead.core.publication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A fleet of hosts that read the published items")
class PublicationFleetTests {

  /** The shortest time within which any deployment wants a change to be in force. */
  private static final Duration IN_FORCE = Duration.ofSeconds(2);

  /** A tenth of the smallest read rate that a store grants to all hosts. */
  private static final int READS_PER_SECOND = 200;

  private static final Duration GIVEN_UP = Duration.ofSeconds(60);

  private static FakePublicationFleet startedFleet(long seed, int size, double loss) {
    FakePublicationFleet fleet =
        new FakePublicationFleet(seed, size, loss, PublicationSettings.DEFAULT);
    for (int index = 0; index < 12; index++) {
      fleet.store().change("servers/" + index, Optional.of("ready"));
    }
    fleet.store().change("configuration", Optional.of("1"));
    fleet.run(Duration.ofSeconds(4));
    assertTrue(fleet.allCurrent(), "current before the fault");
    return fleet;
  }

  // Issue 23: a store that fell silent forgot the watches of all hosts at one moment.
  @ParameterizedTest(name = "{0} hosts, silent for {1} ms")
  @CsvSource({"6, 3000", "6, 6000", "6, 400", "95, 3000", "358, 3000"})
  @DisplayName("takes a change in time after the store has forgotten all watches")
  void takesChangeAfterForgottenWatches(int size, long silenceMilliseconds) {
    FakePublicationFleet fleet = startedFleet(1, size, 0);
    fleet.silenceStore(Set.copyOf(fleet.hostNames()));
    fleet.run(Duration.ofMillis(silenceMilliseconds));
    fleet.silenceStore(Set.of());
    fleet.store().change("configuration", Optional.of("2"));
    Duration elapsed = fleet.runUntilCurrent(GIVEN_UP);
    assertTrue(elapsed.compareTo(IN_FORCE) <= 0, () -> "in force after " + elapsed);
  }

  @ParameterizedTest(name = "{0} hosts")
  @CsvSource({"6", "95", "358"})
  @DisplayName("reads a quiet store with a tenth of the smallest read rate that a store grants")
  void boundsReads(int size) {
    FakePublicationFleet fleet = startedFleet(2, size, 0);
    int before = fleet.store().reads();
    fleet.run(Duration.ofSeconds(20));
    int reads = fleet.store().reads() - before;
    assertTrue(reads <= 20 * READS_PER_SECOND, () -> "reads in 20 s: " + reads);
  }

  // Issue 23: an update of a restarted host lacks the deletions from before its listing.
  @Test
  @DisplayName("deletes an item whose deletion all other hosts have forgotten by a restart")
  void takesDeletionFromRestartedHosts() {
    FakePublicationFleet fleet = startedFleet(3, 6, 0);
    String separated = fleet.hostNames().get(0);
    fleet.silenceStore(Set.of(separated));
    fleet.freeze(separated, Duration.ofSeconds(4));
    fleet.store().change("servers/3", Optional.empty());
    fleet.run(Duration.ofMillis(500));
    fleet.hostNames().stream().skip(1).forEach(fleet::start);
    fleet.run(Duration.ofMillis(3_500));
    fleet.store().change("servers/4", Optional.of("draining"));
    Duration elapsed = fleet.runUntilCurrent(GIVEN_UP);
    assertTrue(
        elapsed.compareTo(IN_FORCE) <= 0,
        () -> "in force after " + elapsed + ", behind " + fleet.laggards());
  }

  static LongStream manySeeds() {
    return LongStream.range(1_000, 3_000);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("manySeeds")
  @Tag("long-running")
  @DisplayName("has no copy that differs from the store for long, with many seeds")
  void staysCurrentWithManySeeds(long seed) {
    staysCurrentUnderFaults(seed);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  @DisplayName("has no copy that differs from the store for long, whatever faults overlap")
  void staysCurrentUnderFaults(long seed) {
    FakePublicationFleet fleet = startedFleet(seed, 9, 0.1);
    Random random = new Random(seed);
    for (int round = 0; round < 40; round++) {
      changeSomething(fleet, random);
      faultSomething(fleet, random);
      fleet.run(Duration.ofMillis(100 + random.nextInt(900)));
      if (round % 8 == 7) {
        fleet.silenceStore(Set.of());
        fleet.run(Duration.ofSeconds(3));
        changeSomething(fleet, random);
        Duration elapsed = fleet.runUntilCurrent(GIVEN_UP);
        assertTrue(
            elapsed.compareTo(IN_FORCE) <= 0,
            () -> "in force after " + elapsed + ", behind " + fleet.laggards());
      }
    }
  }

  private static void changeSomething(FakePublicationFleet fleet, Random random) {
    String key = "servers/" + random.nextInt(12);
    fleet.store().change(key, random.nextBoolean() ? Optional.of("ready") : Optional.empty());
    fleet.store().change("configuration", Optional.of("version " + random.nextInt()));
  }

  private static void faultSomething(FakePublicationFleet fleet, Random random) {
    List<String> hosts = fleet.hostNames();
    String host = hosts.get(random.nextInt(hosts.size()));
    switch (random.nextInt(5)) {
      case 0 -> fleet.silenceStore(Set.copyOf(hosts.subList(0, random.nextInt(hosts.size() + 1))));
      case 1 -> fleet.freeze(host, Duration.ofMillis(random.nextInt(2_500)));
      case 2 -> fleet.start(host);
      case 3 -> fleet.store().dropHistory();
      default -> fleet.silenceStore(Set.of());
    }
  }
}
