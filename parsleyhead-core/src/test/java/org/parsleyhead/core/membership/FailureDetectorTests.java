package org.parsleyhead.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("The failure detector")
class FailureDetectorTests {

  private static final int HOST_COUNT = 12;
  private static final HostName TARGET = FakeMembershipFleet.name(5);
  private static final ClaimRule CLAIM_RULE =
      lastAttested -> lastAttested.plus(Duration.ofMillis(10_200));

  private final FakeMembershipFleet fleet = new FakeMembershipFleet(21, HOST_COUNT, CLAIM_RULE);

  /** Returns the liveness of a host as all other hosts see it. */
  private Set<Liveness> livenessOf(HostName host) {
    return IntStream.range(0, HOST_COUNT)
        .mapToObj(FakeMembershipFleet::name)
        .filter(other -> !other.equals(host))
        .map(other -> fleet.process(other).state().liveness(host))
        .collect(Collectors.toSet());
  }

  @Test
  @DisplayName("marks a stopped host as failed on all hosts, and as alive after its restart")
  void detectsStoppedHost() {
    fleet.run(Duration.ofSeconds(30), 0);
    fleet.stop(TARGET);
    fleet.run(Duration.ofSeconds(60), 0);
    assertEquals(Set.of(Liveness.FAILED), livenessOf(TARGET));
    fleet.restart(TARGET);
    fleet.run(Duration.ofSeconds(60), 0);
    assertEquals(Set.of(Liveness.ALIVE), livenessOf(TARGET));
  }

  @Test
  @DisplayName("marks a host as alive again after a partition or a pause")
  void detectsReturnedHost() {
    fleet.run(Duration.ofSeconds(30), 0);
    fleet.isolate(TARGET);
    fleet.run(Duration.ofSeconds(40), 0);
    assertEquals(Set.of(Liveness.FAILED), livenessOf(TARGET));
    fleet.reconnectAll();
    fleet.pause(TARGET, Duration.ofSeconds(20));
    fleet.run(Duration.ofSeconds(80), 0);
    assertEquals(Set.of(Liveness.ALIVE), livenessOf(TARGET));
  }

  @Test
  @DisplayName("suspects no host after a pause of its own process")
  void ignoresOwnPause() {
    FailureDetector detector =
        new FailureDetector(MembershipSettings.of(FakeMembershipFleet.name(0), new Incarnation(1)));
    List<HostName> others = List.of(TARGET);
    MonotonicTime start = MonotonicTime.ORIGIN;
    LivenessState state = detector.tick(LivenessState.initial(start), others, 1, start).state();
    MonotonicTime resumed = start.plus(Duration.ofMinutes(1));
    state = detector.tick(state, others, 2, resumed).state();
    assertEquals(Liveness.ALIVE, state.latestUpdate(TARGET).liveness());
  }

  @Test
  @DisplayName(
      "does not suspect a host for a lost probe if another message of the host was received after"
          + " it")
  void discardsAnsweredProbe() {
    MembershipSettings settings =
        MembershipSettings.of(FakeMembershipFleet.name(0), new Incarnation(1));
    FailureDetector detector = new FailureDetector(settings);
    List<HostName> others = List.of(TARGET);
    MonotonicTime time = MonotonicTime.ORIGIN;
    LivenessState state = detector.tick(LivenessState.initial(time), others, 1, time).state();
    state = detector.receive(state, 2, TARGET, new AttestationRequest(1, 1), time).state();
    time = time.plus(settings.probeTimeout().multipliedBy(2));
    state = detector.tick(state, others, 2, time).state();
    assertEquals(Liveness.ALIVE, state.latestUpdate(TARGET).liveness());
  }
}
