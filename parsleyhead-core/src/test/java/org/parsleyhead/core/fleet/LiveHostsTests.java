package org.parsleyhead.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

@DisplayName("The live hosts that a host reports to its dispatch duty")
class LiveHostsTests {

  private static final String SELF = "10.0.0.1:9";
  private static final String OTHER = "10.0.0.2:9";
  private static final MonotonicTime START = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));

  private static FleetSettings settings(String self) {
    return new FleetSettings(
        self,
        1,
        75,
        List.of(SELF, OTHER),
        Duration.ofMillis(300),
        Duration.ofMillis(500),
        Duration.ofMillis(1_200),
        Duration.ofSeconds(20),
        Duration.ofMillis(1_500),
        Duration.ofMillis(3_300),
        Duration.ofMillis(250),
        Duration.ofMillis(25),
        Duration.ofMillis(400),
        Duration.ofMillis(500));
  }

  private static Step<FleetState, FleetEffect> tick(
      String self, FleetState state, MonotonicTime time) {
    return new FleetTransition(settings(self))
        .apply(state, new FleetEvent.Tick(1, 0, 1, Map.of(), Map.of(), Map.of()), time);
  }

  private static FleetEffect.HostsChanged hostsChanged(Step<FleetState, FleetEffect> step) {
    return step.effects().stream()
        .filter(FleetEffect.HostsChanged.class::isInstance)
        .map(FleetEffect.HostsChanged.class::cast)
        .findFirst()
        .orElseThrow();
  }

  /** Without itself in the set, no host of a fleet has a share of a cold server or a trial. */
  @Test
  @DisplayName("include the host itself, when another one appears and when it falls silent")
  void includeSelf() {
    Heartbeat heartbeat =
        tick(OTHER, FleetState.initial(settings(OTHER), true, START), START).effects().stream()
            .filter(FleetEffect.SendMessage.class::isInstance)
            .map(FleetEffect.SendMessage.class::cast)
            .map(FleetEffect.SendMessage::message)
            .filter(Heartbeat.class::isInstance)
            .map(Heartbeat.class::cast)
            .findFirst()
            .orElseThrow();
    Step<FleetState, FleetEffect> received =
        new FleetTransition(settings(SELF))
            .apply(
                FleetState.initial(settings(SELF), true, START),
                new FleetEvent.HeartbeatReceived(OTHER, 1, heartbeat),
                START);
    assertEquals(Set.of(SELF, OTHER), Set.copyOf(hostsChanged(received).live()));
    assertEquals(2, hostsChanged(received).known());
    Step<FleetState, FleetEffect> silent =
        tick(SELF, received.state(), START.plus(Duration.ofSeconds(4)));
    assertEquals(List.of(SELF), hostsChanged(silent).live());
  }
}
