package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays of several hosts that send plain requests to one pool, with a latency target of 120 ms.
 * Each replay with reports is compared with the same load without, which is served as before.
 */
@DisplayName("Plain servers that report their load and pace")
class UnevenPoolTests {

  private static final Duration LENGTH = Duration.ofSeconds(10);
  private static final double[] UNEVEN_PACES = {4, 1, 2, 1};
  private static final FakePlainPool.Paces UNEVEN = (server, time) -> UNEVEN_PACES[server];
  private static final FakePlainPool.Paces USUAL = (server, time) -> 1;
  private static final FakePlainPool.Reports NOTHING =
      (server, running, waiting, pace) -> Optional.empty();

  /** Paces of 1 or 4 that change at random every 150 ms. */
  private static double changing(int server, long nanoseconds) {
    long interval = nanoseconds / 150_000_000L;
    long mixed = (interval * 7919 + server * 104_729L) * 0x9e3779b97f4a7c15L;
    return (mixed >>> 40) % 2 == 0 ? 1 : 4;
  }

  private static FakePlainPool.Outcome replay(
      long seed,
      int hosts,
      int servers,
      double rate,
      FakePlainPool.Paces paces,
      FakePlainPool.Reports reports) {
    FakePlainPool.Outcome outcome =
        new FakePlainPool(seed, hosts, servers, paces, reports).run(rate, LENGTH);
    return outcome;
  }

  private static double late(FakePlainPool.Outcome outcome) {
    return 1 - outcome.onTimeFraction();
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 20, 70})
  @DisplayName(
      "of paces from 1 to 4 answer late half as often, which guards against a slow server that"
          + " gets its equal share")
  void usesFastServers(int hosts) {
    FakePlainPool.Outcome before = replay(1, hosts, 4, 250, UNEVEN, NOTHING);
    FakePlainPool.Outcome outcome = replay(1, hosts, 4, 250, UNEVEN, FakePlainPool::truth);
    assertTrue(late(outcome) <= late(before) / 2, outcome + " after " + before);
    assertTrue(outcome.refused() <= before.refused(), outcome + " after " + before);
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 20, 70})
  @DisplayName(
      "at half of their capacity refuse nothing, which guards against hosts that all fill the same"
          + " server")
  void spreadsBursts(int hosts) {
    FakePlainPool.Outcome outcome = replay(1, hosts, 3, 300, USUAL, FakePlainPool::truth);
    assertEquals(0, outcome.refused(), outcome.toString());
    assertTrue(late(outcome) <= 0.01, outcome.toString());
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 20, 70})
  @DisplayName(
      "whose pace changes by a factor of 4 many times per second answer no later than before,"
          + " which guards against decisions by a pace that is over")
  void bearsChangingPaces(int hosts) {
    FakePlainPool.Paces paces = (server, time) -> changing(server, time.nanoseconds());
    FakePlainPool.Outcome before = replay(2, hosts, 3, 130, paces, NOTHING);
    FakePlainPool.Outcome outcome = replay(2, hosts, 3, 130, paces, FakePlainPool::truth);
    assertTrue(late(outcome) <= late(before), outcome + " after " + before);
    assertEquals(0, outcome.refused(), outcome.toString());
  }

  @Test
  @DisplayName(
      "but err about their pace answer no later than before, which guards against a lasting effect"
          + " of wrong values")
  void bearsWrongPaces() {
    double[] wrong = {0.25, 8, 2, 1};
    FakePlainPool.Reports reports =
        (server, running, waiting, pace) ->
            Optional.of(FakePlainPool.load(running, waiting, OptionalDouble.of(wrong[server])));
    FakePlainPool.Outcome before = replay(3, 20, 4, 250, UNEVEN, NOTHING);
    FakePlainPool.Outcome outcome = replay(3, 20, 4, 250, UNEVEN, reports);
    assertTrue(late(outcome) <= late(before), outcome + " after " + before);
    assertTrue(outcome.refused() <= before.refused(), outcome + " after " + before);
  }

  @Test
  @DisplayName(
      "but err about their load answer no later than before, which guards against a full server"
          + " that attracts requests and an idle one that gets none")
  void bearsWrongLoads() {
    FakePlainPool.Reports reports =
        (server, running, waiting, pace) ->
            Optional.of(
                server == 0
                    ? FakePlainPool.load(0, 0, OptionalDouble.empty())
                    : FakePlainPool.load(
                        server == 1 ? FakePlainPool.SLOTS : running,
                        server == 1 ? 24 : waiting,
                        OptionalDouble.empty()));
    FakePlainPool.Outcome before = replay(4, 20, 4, 250, UNEVEN, NOTHING);
    FakePlainPool.Outcome outcome = replay(4, 20, 4, 250, UNEVEN, reports);
    assertTrue(late(outcome) <= late(before), outcome + " after " + before);
    assertTrue(outcome.refused() <= before.refused(), outcome + " after " + before);
  }

  @Test
  @DisplayName(
      "are chosen as before while none reports anything, which guards against a change for"
          + " deployments without the header")
  void keepsChoiceWithoutReports() {
    DispatchFixture host =
        DispatchFixture.ofPlainPool(
            Duration.ofMillis(120),
            DispatchFixture.plainWithSlots("s0", 6),
            DispatchFixture.plainWithSlots("s1", 6),
            DispatchFixture.plainWithSlots("s2", 6));
    for (int round = 0; round < 30; round++) {
      int least =
          host.state().instances().all().stream()
              .mapToInt(view -> view.totalLoad().running())
              .min()
              .orElseThrow();
      DispatchEffect.Send send = host.send("/book/", Optional.empty());
      String chosen = send.instance().identifier();
      assertEquals(
          least + 1, host.state().instances().find(chosen).orElseThrow().totalLoad().running());
      if (round % 3 == 0) {
        host.end(send, AttemptOutcome.COMPLETED, false);
      }
    }
  }
}
