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

  private static final int SIZE = 12;
  private static final HostName VICTIM = FakeMembershipFleet.name(5);
  private static final ClaimRule RULE =
      lastAttested -> lastAttested.plus(Duration.ofMillis(10_200));

  private final FakeMembershipFleet fleet = new FakeMembershipFleet(21, SIZE, RULE);

  /** Returns the opinions of all other hosts on a host. */
  private Set<Liveness> opinionsOn(HostName host) {
    return IntStream.range(0, SIZE)
        .mapToObj(FakeMembershipFleet::name)
        .filter(other -> !other.equals(host))
        .map(other -> fleet.process(other).state().liveness(host))
        .collect(Collectors.toSet());
  }

  @Test
  @DisplayName("lets all hosts count a stopped host as failed, and as alive after its restart")
  void findsStopped() {
    fleet.run(Duration.ofSeconds(30), 0);
    fleet.stop(VICTIM);
    fleet.run(Duration.ofSeconds(60), 0);
    assertEquals(Set.of(Liveness.FAILED), opinionsOn(VICTIM));
    fleet.restart(VICTIM);
    fleet.run(Duration.ofSeconds(60), 0);
    assertEquals(Set.of(Liveness.ALIVE), opinionsOn(VICTIM));
  }

  @Test
  @DisplayName("finds a host alive again after it was cut off or paused")
  void findsReturned() {
    fleet.run(Duration.ofSeconds(30), 0);
    fleet.cut(VICTIM);
    fleet.run(Duration.ofSeconds(40), 0);
    assertEquals(Set.of(Liveness.FAILED), opinionsOn(VICTIM));
    fleet.heal();
    fleet.pause(VICTIM, Duration.ofSeconds(20));
    fleet.run(Duration.ofSeconds(80), 0);
    assertEquals(Set.of(Liveness.ALIVE), opinionsOn(VICTIM));
  }

  @Test
  @DisplayName("blames nobody when this process itself wakes up late")
  void forgivesOwnPause() {
    FailureDetector detector =
        new FailureDetector(MembershipSettings.of(FakeMembershipFleet.name(0), new Incarnation(1)));
    List<HostName> others = List.of(VICTIM);
    MonotonicTime start = MonotonicTime.ORIGIN;
    LivenessState state = detector.tick(LivenessState.initial(start), others, 1, start).state();
    MonotonicTime late = start.plus(Duration.ofMinutes(1));
    state = detector.tick(state, others, 2, late).state();
    assertEquals(Liveness.ALIVE, state.opinionOn(VICTIM).liveness());
  }

  @Test
  @DisplayName("does not blame a host for a probe that was lost before the host was heard")
  void forgetsOldProbe() {
    MembershipSettings settings =
        MembershipSettings.of(FakeMembershipFleet.name(0), new Incarnation(1));
    FailureDetector detector = new FailureDetector(settings);
    List<HostName> others = List.of(VICTIM);
    MonotonicTime time = MonotonicTime.ORIGIN;
    LivenessState state = detector.tick(LivenessState.initial(time), others, 1, time).state();
    state = detector.receive(state, 2, VICTIM, new AttestationRequest(1, 1), time).state();
    time = time.plus(settings.probeTimeout().multipliedBy(2));
    state = detector.tick(state, others, 2, time).state();
    assertEquals(Liveness.ALIVE, state.opinionOn(VICTIM).liveness());
  }
}
