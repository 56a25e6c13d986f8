package org.parsleyhead.core.quarantine;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A fleet of hosts that receives requests which end their servers")
class QuarantineFleetTests {

  private static final double DEADLY_SHARE = 0.05;
  private static final double ENDS_PER_SECOND = 0.1;

  /** The platform's limits: after five servers and this delay, three further requests. */
  private static final Duration DELAY = Duration.ofSeconds(3);

  /** The platform wants sound requests to be answered at least half as often as before. */
  private static final double SOUND_SHARE = 0.5;

  private static final int MAXIMUM_LATER_SENDS = 3;
  private static final int MAXIMUM_SERVERS_OF_SMALL_FLEET = 5;

  private static FakeServingFleet play(
      long seed, int hosts, int servers, double rate, boolean guarded) {
    FakeServingFleet fleet = new FakeServingFleet(seed, hosts, servers, 0.1, guarded);
    fleet.play(Duration.ofSeconds(5), rate, 0, ENDS_PER_SECOND);
    fleet.play(Duration.ofSeconds(22), rate, DEADLY_SHARE, ENDS_PER_SECOND);
    return fleet;
  }

  // Issue 23: requests with one part in common ended 26 servers one after the other.
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  @DisplayName("loses few servers, and answers the sound requests")
  void losesFewServers(long seed) {
    FakeServingFleet fleet = play(seed, 6, 13, 20, true);
    assertTrue(
        fleet.serversLost() <= MAXIMUM_SERVERS_OF_SMALL_FLEET,
        () -> "servers lost: " + fleet.serversLost());
    assertTrue(
        fleet.soundAnswered() >= SOUND_SHARE, () -> "sound answered: " + fleet.soundAnswered());
  }

  @ParameterizedTest(name = "{0} hosts, {1} servers, {2} requests a second")
  @CsvSource({"95, 56, 90", "358, 400, 300"})
  @DisplayName("keeps to the limit at a large fleet too")
  void keepsLimitOfLargeFleet(int hosts, int servers, double rate) {
    FakeServingFleet fleet = play(31, hosts, servers, rate, true);
    long later = fleet.deadlySendsAfterFifth(DELAY);
    assertTrue(later <= MAXIMUM_LATER_SENDS, () -> "sent later: " + later);
    assertTrue(
        fleet.soundAnswered() >= SOUND_SHARE, () -> "sound answered: " + fleet.soundAnswered());
  }

  @Test
  @DisplayName("without the quarantine would lose many servers, one after the other")
  void baselineLosesManyServers() {
    FakeServingFleet fleet = play(1, 6, 13, 20, false);
    assertTrue(
        fleet.serversLost() > MAXIMUM_SERVERS_OF_SMALL_FLEET,
        () -> "servers lost: " + fleet.serversLost());
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {41, 42, 43, 44, 45})
  @DisplayName("refuses hardly anything when servers end by themselves")
  void sparesSoundRequests(long seed) {
    FakeServingFleet guarded = new FakeServingFleet(seed, 6, 13, 0.1, true);
    guarded.play(Duration.ofSeconds(60), 20, 0, 0.5);
    FakeServingFleet unguarded = new FakeServingFleet(seed, 6, 13, 0.1, false);
    unguarded.play(Duration.ofSeconds(60), 20, 0, 0.5);
    assertTrue(
        guarded.soundAnswered() >= unguarded.soundAnswered() - 0.05,
        () -> "answered: " + guarded.soundAnswered() + " of " + unguarded.soundAnswered());
  }
}
