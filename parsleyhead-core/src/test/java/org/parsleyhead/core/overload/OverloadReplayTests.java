package org.parsleyhead.core.overload;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Each test replays one load, once in the order of the queue and once first come, first served, and
 * guards against an order that serves callers worse than no order at all.
 */
@DisplayName("Replayed overload")
class OverloadReplayTests {

  /** Concurrent loads; about a fifth of what the weight store serves at full speed. */
  private static final int SLOTS = 5;

  private static final int SECONDS = 20;
  private static final int SEEDS = 10;
  private static final List<String> ACCOUNTS = List.of("a", "b", "c", "d", "e");

  /** Requests that need a load, with its 288 ms; a twentieth of the required load needs one. */
  private static final List<KindRate> RATES =
      List.of(
          new KindRate(new FakeCapacity.Kind("long urgent", 0, 1_000, 5_000, 288 + 75), 149 / 20.0),
          new KindRate(new FakeCapacity.Kind("long", 1, 1_000, 8_000, 288 + 75), 21 / 20.0),
          new KindRate(new FakeCapacity.Kind("short", 2, 2_000, 15_000, 288 + 20), 190 / 20.0));

  private record KindRate(FakeCapacity.Kind kind, double perSecond) {}

  /** The account whose rate is raised; the others are those that it must not displace. */
  private static final String HOT = "a";

  private static final String NONE = "";

  @FunctionalInterface
  private interface Load extends BiConsumer<FakeCapacity, Random> {}

  private record Result(
      FakeCapacity.Outcome total,
      FakeCapacity.Outcome worstKind,
      FakeCapacity.Outcome worstAccount) {

    static Result of(FakeCapacity capacity, String excluded) {
      Map<String, FakeCapacity.Outcome> others = new HashMap<>(capacity.byAccount());
      others.remove(excluded);
      return new Result(capacity.total(), worst(capacity.byKind()), worst(others));
    }

    private static FakeCapacity.Outcome worst(Map<String, FakeCapacity.Outcome> outcomes) {
      return outcomes.values().stream()
          .min(Comparator.comparing(FakeCapacity.Outcome::onTimeShare))
          .orElseThrow();
    }
  }

  private static Result replay(Optional<RankOrder> order, Load load, String excluded, int seed) {
    FakeCapacity capacity = new FakeCapacity(SLOTS, order);
    load.accept(capacity, new Random(seed));
    capacity.run();
    return Result.of(capacity, excluded);
  }

  /** Schedules requests of all kinds from equal accounts at a multiple of their rates. */
  private static void arrivals(
      FakeCapacity capacity, Random random, int fromMillis, int untilMillis, double factor) {
    RATES.forEach(
        rate -> {
          double at = fromMillis;
          while (at < untilMillis) {
            String account = drawn(random);
            capacity.call(Duration.ofMillis((long) at), rate.kind(), account, rate.kind().limit());
            at -= Math.log(1 - random.nextDouble()) * 1_000 / (rate.perSecond() * factor);
          }
        });
  }

  private static String drawn(Random random) {
    return ACCOUNTS.get(random.nextInt(ACCOUNTS.size()));
  }

  private static void assertBetter(String name, String excluded, Load load) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Result ordered = replay(Optional.of(new TargetShareOrder()), load, excluded, seed);
      Result arrival = replay(Optional.empty(), load, excluded, seed);
      String results = name + ", seed " + seed + ": " + ordered + ", by arrival " + arrival;
      System.out.println(results);
      assertTrue(ordered.total.served() >= arrival.total.served(), results);
      assertTrue(ordered.total.onTime() >= arrival.total.onTime(), results);
      assertTrue(ordered.worstKind.onTimeShare() >= arrival.worstKind.onTimeShare(), results);
      assertTrue(ordered.worstAccount.onTimeShare() >= arrival.worstAccount.onTimeShare(), results);
    }
  }

  @Test
  @DisplayName("a burst of 2.4 times the rate for 3 s")
  void burst() {
    assertBetter(
        "burst",
        NONE,
        (capacity, random) -> {
          arrivals(capacity, random, 0, SECONDS * 1_000, 0.7);
          arrivals(capacity, random, 4_000, 7_000, 0.7 * 1.4);
        });
  }

  @Test
  @DisplayName("one account at six times its rate for 6 s")
  void hotAccount() {
    assertBetter(
        "hot account",
        HOT,
        (capacity, random) -> {
          arrivals(capacity, random, 0, SECONDS * 1_000, 0.7);
          RATES.forEach(
              rate -> {
                double interval = 1_000 / (rate.perSecond() * 0.7 / ACCOUNTS.size() * 5);
                for (double at = 4_000; at < 10_000; at += interval) {
                  capacity.call(
                      Duration.ofMillis((long) at), rate.kind(), HOT, rate.kind().limit());
                }
              });
        });
  }

  @Test
  @DisplayName("the loss of a quarter of the capacity for 5 s")
  void lossOfServers() {
    assertBetter(
        "loss of servers",
        NONE,
        (capacity, random) -> {
          capacity.changeSlots(Duration.ZERO, 3);
          arrivals(capacity, random, 0, SECONDS * 1_000, 0.9 * 8 / SLOTS);
          capacity.changeSlots(Duration.ofMillis(4_000), -2);
          capacity.changeSlots(Duration.ofMillis(9_000), 2);
        });
  }

  @Test
  @DisplayName("impatient callers: a third of them waits for 600 ms only")
  void impatientCallers() {
    assertBetter(
        "impatient callers",
        NONE,
        (capacity, random) -> {
          arrivals(capacity, random, 0, SECONDS * 1_000, 0.7);
          RATES.forEach(
              rate -> {
                for (double at = 4_000; at < 10_000; at += 1_000 / (rate.perSecond() * 0.35)) {
                  capacity.call(Duration.ofMillis((long) at), rate.kind(), drawn(random), 600);
                }
              });
        });
  }

  @Test
  @DisplayName("the wave of returning callers after a burst of ten times the rate for 1 s")
  void returningCallers() {
    assertBetter(
        "returning callers",
        NONE,
        (capacity, random) -> {
          arrivals(capacity, random, 0, SECONDS * 1_000, 0.7);
          arrivals(capacity, random, 4_000, 5_000, 0.7 * 9);
        });
  }
}
