package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that are sent before their adapter is loaded, and against fetches of
 * adapters that a server already holds.
 */
@DisplayName("Demand that shifts to other adapters every 8 s, with reports up to 0.5 s old")
class ShiftingDemandTests {

  /** Target of the work plan for arrivals that are rejected because of a missing adapter. */
  private static final double MAXIMUM_MISSING_SHARE = 0.02;

  /**
   * Fetches per requested adapter. Each requested adapter has to be fetched once, and at this load
   * no further copy is needed to meet the latency targets.
   */
  private static final double MAXIMUM_FETCHES_PER_ADAPTER = 1.1;

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  @DisplayName("few arrivals are rejected, and few adapters are fetched twice")
  void fewRejectionsAndFetches(long seed) {
    FakePlacementFleet fleet = new FakePlacementFleet(seed, 88);
    fleet.run(Duration.ofSeconds(40));
    FakePlacementFleet.Tally tally = fleet.tally();
    System.out.println("seed " + seed + ": " + tally + " busiest=" + fleet.busiestServer());
    assertTrue(tally.missing < MAXIMUM_MISSING_SHARE * tally.arrivals, tally.toString());
    assertTrue(
        tally.fetches < MAXIMUM_FETCHES_PER_ADAPTER * tally.adapters.size(), tally.toString());
  }
}
