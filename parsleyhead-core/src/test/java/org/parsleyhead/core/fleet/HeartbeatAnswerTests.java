package org.parsleyhead.core.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;

@DisplayName("An answer to a heartbeat")
class HeartbeatAnswerTests {

  private static final String SELF = "10.0.0.1:9";
  private static final List<String> OTHERS = List.of("10.0.0.2:9", "10.0.0.3:9");
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration UNTIL_CLAIMS = Duration.ofSeconds(4);
  private static final long OTHER_INCARNATION = 77;

  /** A process of the host, without contact to the others, that claims the one server. */
  private static final class Process {

    private final FleetTransition transition;
    private MonotonicTime now = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(1_000));
    private FleetState state;
    private long lastNonce;

    Process(long incarnation) {
      FleetSettings settings =
          new FleetSettings(
              SELF,
              incarnation,
              75,
              OTHERS,
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
      transition = new FleetTransition(settings);
      state = FleetState.initial(settings, true, now);
      apply(new FleetEvent.CatalogueChanged(catalogue()));
      apply(new FleetEvent.InstancesAnnounced(List.of(instance())));
      for (int tick = 0; tick < UNTIL_CLAIMS.dividedBy(TICK); tick++) {
        now = now.plus(TICK);
        apply(new FleetEvent.Tick(0, 1, Map.of(), Map.of(), Map.of()));
      }
    }

    /** Receives votes of all other hosts for all claims of a heartbeat. */
    boolean wonBy(long nonce) {
      OTHERS.forEach(
          voter ->
              apply(
                  new FleetEvent.HeartbeatAnswered(
                      voter,
                      OTHER_INCARNATION,
                      new HeartbeatAnswer(nonce, voter, 0, true, List.of()))));
      return state.engines().containsKey(instance().identifier());
    }

    private void apply(FleetEvent event) {
      Step<FleetState, FleetEffect> step = transition.apply(state, event, now);
      state = step.state();
      for (FleetEffect effect : step.effects()) {
        if (effect instanceof FleetEffect.SendMessage send
            && send.message() instanceof Heartbeat heartbeat) {
          lastNonce = heartbeat.nonce();
        }
      }
    }

    private static Instance instance() {
      return new Instance(
          "i-0",
          1,
          "engine",
          Endpoint.parse("10.1.0.1:80"),
          new FailureDomainName("domain"),
          8,
          false,
          Set.of(),
          Map.of(),
          1);
    }

    private static ServiceCatalogue catalogue() {
      return new ServiceCatalogue(
          1,
          List.of(),
          List.of(
              new ServiceDefinition(
                  "engine", 10, Optional.of(new EngineProfile(8, 1_000, 3, 100, List.of())))),
          RequestLimits.INITIAL,
          List.of());
    }
  }

  @Test
  @DisplayName("counts its votes for the claims of the heartbeat")
  void countsVotes() {
    Process process = new Process(4_000);
    assertTrue(process.wonBy(process.lastNonce));
  }

  @Test
  @DisplayName("counts no votes for the process that runs after the one that it answers")
  void countsNoVotesForNextProcess() {
    Process former = new Process(4_000);
    Process next = new Process(900_000_000);
    assertFalse(next.wonBy(former.lastNonce));
  }
}
