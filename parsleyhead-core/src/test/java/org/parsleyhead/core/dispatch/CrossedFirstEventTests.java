package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.Instance;

@DisplayName("A started stream whose server is checked for silence, before one without connections")
class CrossedFirstEventTests {

  private static final FakeFailover.LoadAnswer ORDERED =
      (servers, load) ->
          servers.after(
              Duration.ofMillis(2),
              new DispatchEvent.LoadOrdered(
                  load.instance(), load.adapter(), Duration.ofMillis(250)));
  private static final FakeFailover.LoadAnswer REFUSED =
      (servers, load) ->
          servers.after(
              Duration.ofMillis(3),
              new DispatchEvent.LoadRefused(load.instance(), load.adapter(), "no_slot"));
  private static final FakeFailover.LoadAnswer UNANSWERED = (servers, load) -> {};

  /** What stands behind the second server. */
  private enum Third {
    WITHOUT_ADAPTER(List.of(DispatchFixture.instance("e3", "engine", false, 1, Map.of()))),
    WITH_ADAPTER(List.of(DispatchFixture.engine("e3"))),
    NONE(List.of());

    private final List<Instance> instances;

    Third(List<Instance> instances) {
      this.instances = instances;
    }
  }

  static Stream<Arguments> variants() {
    return Stream.of("/chat/x", "/talk/x")
        .flatMap(
            path ->
                Stream.of(Third.values())
                    .flatMap(
                        third ->
                            Stream.of(
                                Arguments.of(path, third, "ordered", ORDERED, false),
                                Arguments.of(path, third, "ordered", ORDERED, true),
                                Arguments.of(path, third, "refused", REFUSED, false),
                                Arguments.of(path, third, "refused", REFUSED, true),
                                Arguments.of(path, third, "unanswered", UNANSWERED, false),
                                Arguments.of(path, third, "unanswered", UNANSWERED, true))));
  }

  private static DispatchFixture host(Third third, boolean oneRetry) {
    DispatchFixture host = DispatchFixture.running();
    if (!third.instances.isEmpty()) {
      host.announce(third.instances.toArray(Instance[]::new));
      host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of("e1", "e2", "e3"), Duration.ZERO));
    }
    if (oneRetry) {
      host.leaveOneRetry("engine");
    }
    return host;
  }

  @ParameterizedTest(name = "{0}, third {1}, loads {2}, one retry {4}")
  @MethodSource("variants")
  @DisplayName("stays at its server if its first event crosses the check")
  void staysIfFirstEventCrosses(
      String path, Third third, String loads, FakeFailover.LoadAnswer load, boolean oneRetry) {
    FakeFailover servers = new FakeFailover(host(third, oneRetry), load, FakeFailover::stream);
    servers.playCrossing(path);
    assertInstanceOf(DispatchEffect.Finished.class, servers.ending());
    assertEquals(List.of(1), servers.attempts());
  }

  @ParameterizedTest(name = "{0}, third {1}, loads {2}, one retry {4}")
  @MethodSource("variants")
  @DisplayName("ends by the last event of a later server if it falls silent after its first event")
  void endsByLastEvent(
      String path, Third third, String loads, FakeFailover.LoadAnswer load, boolean oneRetry) {
    FakeFailover servers = new FakeFailover(host(third, oneRetry), load, FakeFailover::stream);
    servers.playSilence(path);
    assertInstanceOf(DispatchEffect.Finished.class, servers.ending());
    assertEquals(List.of(1, 2, 3), servers.attempts());
  }

  @ParameterizedTest(name = "{0}, third {1}, loads {2}, one retry {4}")
  @MethodSource("variants")
  @DisplayName("ends by its deadline if no later server takes a connection")
  void endsByDeadline(
      String path, Third third, String loads, FakeFailover.LoadAnswer load, boolean oneRetry) {
    DispatchFixture host = host(third, oneRetry);
    MonotonicTime start = host.now();
    FakeFailover servers = new FakeFailover(host, load, FakeFailover::takeNoConnection);
    servers.playSilence(path);
    assertInstanceOf(DispatchEffect.Abort.class, servers.ending());
    assertEquals(FakeCallers.DEADLINE, host.now().since(start));
  }
}
