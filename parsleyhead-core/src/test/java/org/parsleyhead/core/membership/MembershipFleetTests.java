package org.parsleyhead.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;

@DisplayName("A fleet of hosts")
class MembershipFleetTests {

  private static final int SCHEDULES = 250;
  private static final int MANY_SCHEDULES = 4_000;
  private static final int HOST_COUNT = 4;
  private static final Duration DURATION = Duration.ofSeconds(60);
  private static final double FAULTS_PER_SECOND = 0.5;
  private static final ClaimRule CLAIM_RULE =
      lastAttested ->
          lastAttested.plus(
              MembershipSettings.of(new HostName("any"), new Incarnation(0)).bindingDuration());
  private static final ClaimRule CLAIM_WITHOUT_WAIT = lastAttested -> lastAttested;

  private static Optional<String> run(long seed, ClaimRule rule) {
    return new FakeMembershipFleet(seed, HOST_COUNT, rule)
        .run(DURATION, FAULTS_PER_SECOND)
        .map(overlap -> "seed " + seed + ": " + overlap);
  }

  @Test
  @DisplayName("never lets two hosts use the same right at the same time under random faults")
  void keepsRightsExclusive() {
    checkSchedules(1, SCHEDULES);
  }

  @Test
  @Tag("long-running")
  @DisplayName("never lets two hosts use the same right at the same time in thousands of schedules")
  void keepsRightsExclusiveInManySchedules() {
    checkSchedules(SCHEDULES + 1, MANY_SCHEDULES);
  }

  private static void checkSchedules(long firstSeed, long lastSeed) {
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      assertEquals(Optional.empty(), run(seed, CLAIM_RULE));
    }
  }

  @Test
  @DisplayName(
      "lets two hosts use the same right at the same time if claims do not wait for attestations to"
          + " expire")
  void detectsOverlapWithoutWait() {
    assertTrue(
        LongStream.rangeClosed(1, 100).anyMatch(seed -> run(seed, CLAIM_WITHOUT_WAIT).isPresent()));
  }

  @Test
  @DisplayName("exercises both attested and claimed rights under random faults")
  void exercisesAttestationsAndClaims() {
    FakeMembershipFleet fleet = new FakeMembershipFleet(1, HOST_COUNT, CLAIM_RULE);
    fleet.run(DURATION, FAULTS_PER_SECOND);
    assertTrue(fleet.coverage().stream().allMatch(count -> count > 0), fleet.coverage().toString());
  }

  @Test
  @DisplayName(
      "attests to every member without faults, and claims the rights of a host removed from the"
          + " list")
  void attestsFullyAndClaimsRemoved() {
    FakeMembershipFleet fleet = new FakeMembershipFleet(3, HOST_COUNT, CLAIM_RULE);
    fleet.run(Duration.ofSeconds(60), 0);
    HostName first = FakeMembershipFleet.name(0);
    HostName last = FakeMembershipFleet.name(HOST_COUNT - 1);
    FakeMembershipFleet.Process process = fleet.process(first);
    assertTrue(process.state().rightsSnapshot().isAttestedByAll(process.clock()));
    fleet.removeFromList(last);
    fleet.run(Duration.ofSeconds(60), 0);
    assertTrue(process.state().rightsSnapshot().mayClaimFrom(last, process.clock()));
    assertEquals(HOST_COUNT, process.state().aliveHosts().size() + 1);
  }
}
