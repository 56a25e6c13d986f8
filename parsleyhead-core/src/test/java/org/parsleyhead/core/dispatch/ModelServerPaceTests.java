package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A model server that has half of a prompt cached")
class ModelServerPaceTests {

  /** Prefill takes 105 ms at the rate of the fixture, and 53 ms with the shared part cached. */
  private static final Optional<ModelWork> WORK =
      Optional.of(
          new ModelWork(
              DispatchFixture.ADAPTER,
              4000,
              50,
              List.of(new PromptPart(7, 2000), new PromptPart(8, 2000))));

  private static final Optional<ModelWork> SIMILAR_WORK =
      Optional.of(
          new ModelWork(
              DispatchFixture.ADAPTER,
              4000,
              50,
              List.of(new PromptPart(7, 2000), new PromptPart(9, 2000))));

  private final DispatchFixture host = DispatchFixture.running();

  /** Returns the server of a first request, which reports a load with its first event. */
  private String served(Duration elapsed, Optional<ReportedLoad> load) {
    DispatchEffect.Send send = host.send("/chat/", WORK);
    host.advance(elapsed);
    host.apply(new DispatchEvent.ResponseStarted(send.request().key(), send.attempt(), load));
    host.end(send, AttemptOutcome.COMPLETED, true);
    return send.instance().identifier();
  }

  private static Optional<ReportedLoad> load(double pace) {
    return Optional.of(new ReportedLoad(1, 0, 8, OptionalDouble.of(pace), Duration.ZERO));
  }

  private String next() {
    return host.send("/chat/", SIMILAR_WORK).instance().identifier();
  }

  @Test
  @DisplayName("is left while it is 4 times as slow, which guards against late first events")
  void leavesSlowServer() {
    assertNotEquals(served(Duration.ofMillis(420), load(4)), next());
  }

  @Test
  @DisplayName("is chosen at the usual pace")
  void staysAtUsualPace() {
    assertEquals(served(Duration.ofMillis(105), load(1)), next());
  }

  @Test
  @DisplayName("is chosen again some seconds later, which guards against a lasting effect")
  void returnsLater() {
    String first = served(Duration.ofMillis(420), load(4));
    host.advance(Duration.ofSeconds(3));
    assertEquals(first, next());
  }

  @Test
  @DisplayName(
      "is chosen however slow it is if it reports nothing, which guards against a change for"
          + " deployments without the header")
  void ignoresPaceWithoutReports() {
    assertEquals(served(Duration.ofMillis(420), Optional.empty()), next());
  }
}
