package org.parsleyhead.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.overload.RequestRank;

@DisplayName("Loads that wait at the owner of a server")
class LoadOrderTests {

  private static final int MAXIMUM_PENDING_LOADS = 16;

  private final FakeClaimant owner = new FakeClaimant(4_000);

  private FleetEffect.SendOrder inFlight;

  @BeforeEach
  void orderFirstLoad() {
    owner.wonBy(owner.lastNonce());
    owner.knownBy(1);
    inFlight = order(owner.request("first", rank(2, 0)));
  }

  private static RequestRank rank(int priority, long waitedMilliseconds) {
    return new RequestRank(
        priority,
        Duration.ofMillis(waitedMilliseconds),
        Duration.ofSeconds(1),
        Duration.ofSeconds(5),
        Duration.ofMillis(300));
  }

  private static FleetEffect.SendOrder order(List<FleetEffect> effects) {
    return effects.stream()
        .filter(FleetEffect.SendOrder.class::isInstance)
        .map(FleetEffect.SendOrder.class::cast)
        .findFirst()
        .orElseThrow();
  }

  private static List<String> refused(List<FleetEffect> effects) {
    List<String> refused = new ArrayList<>();
    for (FleetEffect effect : effects) {
      if (effect instanceof FleetEffect.SendMessage send
          && send.message() instanceof LoadAnswer answer
          && !answer.ordered()) {
        refused.add(answer.adapter().adapter() + ":" + answer.reason());
      }
    }
    return refused;
  }

  private String next() {
    inFlight = order(owner.accept(inFlight));
    return inFlight.adapter().adapter();
  }

  @Test
  @DisplayName("are ordered by rank, not by arrival")
  void byRank() {
    owner.request("low", rank(2, 0));
    owner.request("urgent", rank(0, 0));
    owner.request("waited", rank(2, 400));
    assertEquals("urgent", next());
    assertEquals("waited", next());
  }

  @Test
  @DisplayName("take over the rank of a more urgent request for the same adapter")
  void takesOverRank() {
    owner.request("middle", rank(1, 0));
    owner.request("shared", rank(2, 0));
    owner.request("shared", rank(0, 0));
    assertEquals("shared", next());
  }

  @Test
  @DisplayName("lose the lowest-ranked one when there are too many, not the newest")
  void dropsLowestRanked() {
    owner.request("lowest", rank(2, 0));
    for (int load = 1; load < MAXIMUM_PENDING_LOADS - 1; load++) {
      owner.request("load-" + load, rank(1, 0));
    }
    assertEquals(List.of("lowest:queue_full"), refused(owner.request("urgent", rank(0, 0))));
    assertEquals(List.of("newest:queue_full"), refused(owner.request("newest", rank(2, 0))));
    assertEquals(List.of(), refused(owner.request("urgent", rank(0, 0))));
    assertEquals("urgent", next());
  }

  @Test
  @DisplayName("are refused one by one after a wait without a slot, not all with the oldest")
  void refusesOverdueOnly() {
    owner.request("second", rank(2, 0));
    owner.request("third", rank(2, 0));
    next();
    next();
    owner.accept(inFlight);
    owner.request("old", rank(2, 0));
    owner.advance(Duration.ofMillis(100));
    owner.request("new", rank(2, 0));
    owner.advance(Duration.ofMillis(50));
    assertEquals(List.of("old:no_slot"), refused(owner.tick()));
  }
}
