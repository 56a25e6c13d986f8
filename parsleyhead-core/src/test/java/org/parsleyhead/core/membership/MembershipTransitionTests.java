package org.parsleyhead.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;

@DisplayName("The membership transition")
class MembershipTransitionTests {

  private static final HostName SELF = FakeMembershipFleet.name(0);
  private static final HostName OTHER = FakeMembershipFleet.name(1);
  private static final Incarnation INCARNATION = new Incarnation(7);
  private static final MembershipSettings SETTINGS = MembershipSettings.of(SELF, INCARNATION);
  private static final Duration BINDING_DURATION = SETTINGS.bindingDuration();
  private static final MonotonicTime START = MonotonicTime.ORIGIN;
  private static final MonotonicTime LATER = START.plus(BINDING_DURATION);

  private final MembershipTransition membership = new MembershipTransition(SETTINGS);
  private MembershipState state = MembershipState.initial(SETTINGS, START);

  private List<MembershipEffect> apply(MembershipEvent event, MonotonicTime time) {
    Step<MembershipState, MembershipEffect> step = membership.apply(state, event, time);
    state = step.state();
    return step.effects();
  }

  private void read(long version, HostName... hosts) {
    apply(
        new MembershipEvent.HostListRead(FakeMembershipFleet.listOf(version, List.of(hosts))),
        START);
  }

  private Optional<Attestation> request(long incarnation, MonotonicTime time) {
    Sender sender = new Sender(OTHER, new Incarnation(incarnation));
    return apply(new MembershipEvent.MessageReceived(sender, new AttestationRequest(5, 1)), time)
        .stream()
        .filter(MembershipEffect.Send.class::isInstance)
        .map(effect -> (Attestation) ((MembershipEffect.Send) effect).message())
        .findFirst();
  }

  @Nested
  @DisplayName("issues attestations")
  class IssuesAttestations {

    @Test
    @DisplayName("to no host before those of its own previous run have expired")
    void waitsAfterStart() {
      read(1, SELF, OTHER);
      assertTrue(request(1, LATER.minus(Duration.ofNanos(1))).isEmpty());
      assertTrue(request(1, LATER).isPresent());
    }

    @Test
    @DisplayName("to a new run only after the attestation to the previous run has expired")
    void waitsForOldIncarnation() {
      read(1, SELF, OTHER);
      assertTrue(request(1, LATER).isPresent());
      assertTrue(request(2, LATER.plus(Duration.ofSeconds(5))).isEmpty());
      assertTrue(request(1, LATER.plus(Duration.ofSeconds(6))).isPresent());
      assertTrue(request(2, LATER.plus(Duration.ofSeconds(6)).plus(BINDING_DURATION)).isPresent());
    }

    @Test
    @DisplayName("to a previous run never again after its replacement")
    void refusesFormerRun() {
      read(1, SELF, OTHER);
      assertTrue(request(1, LATER).isPresent());
      MonotonicTime replaced = LATER.plus(BINDING_DURATION).plus(BINDING_DURATION);
      apply(new MembershipEvent.Tick(1), replaced);
      assertTrue(request(2, replaced).isPresent());
      assertTrue(request(1, replaced.plus(BINDING_DURATION).plus(BINDING_DURATION)).isEmpty());
    }

    @Test
    @DisplayName("to no host that is not listed")
    void refusesUnlisted() {
      read(1, SELF);
      assertTrue(request(1, LATER).isEmpty());
    }

    @Test
    @DisplayName("to a host that is listed again only after the claim on its rights is released")
    void releasesBeforeAttesting() {
      read(1, SELF, OTHER);
      read(2, SELF);
      assertTrue(state.rightsSnapshot().mayClaimFrom(OTHER, LATER));
      read(3, SELF, OTHER);
      assertFalse(state.rightsSnapshot().mayClaimFrom(OTHER, LATER));
      assertTrue(request(1, LATER).isEmpty());
      apply(new MembershipEvent.RightsApplied(state.sequence()), LATER);
      assertEquals(3, request(1, LATER).orElseThrow().listVersion());
    }
  }

  @Nested
  @DisplayName("accepts an attestation")
  class AcceptsAttestations {

    private long requestNonce(MonotonicTime time) {
      return apply(new MembershipEvent.Tick(99), time).stream()
          .filter(MembershipEffect.Send.class::isInstance)
          .map(effect -> ((MembershipEffect.Send) effect).message())
          .filter(AttestationRequest.class::isInstance)
          .map(message -> ((AttestationRequest) message).nonce())
          .findFirst()
          .orElseThrow();
    }

    private void answer(long nonce, Incarnation run, MonotonicTime time) {
      Sender sender = new Sender(OTHER, new Incarnation(1));
      Attestation attestation = new Attestation(nonce, run, 1, Duration.ofSeconds(10));
      apply(new MembershipEvent.MessageReceived(sender, attestation), time);
    }

    @Test
    @DisplayName("with its duration measured from the request, less the drift margin")
    void measuresFromRequest() {
      read(1, SELF, OTHER);
      answer(requestNonce(START), INCARNATION, START.plus(Duration.ofSeconds(3)));
      MonotonicTime end = START.plus(Duration.ofMillis(9_800));
      assertTrue(state.rightsSnapshot().isAttestedBy(OTHER, end.minus(Duration.ofNanos(1))));
      assertFalse(state.rightsSnapshot().isAttestedBy(OTHER, end));
    }

    @Test
    @DisplayName("only for its own nonce and its own run")
    void refusesOthers() {
      read(1, SELF, OTHER);
      long nonce = requestNonce(START);
      answer(nonce + 1, INCARNATION, START);
      answer(nonce, new Incarnation(8), START);
      assertFalse(state.rightsSnapshot().isAttestedBy(OTHER, START));
    }

    @Test
    @DisplayName("never after its expiry")
    void ignoresExpiredAttestation() {
      read(1, SELF, OTHER);
      answer(requestNonce(START), INCARNATION, START.plus(Duration.ofSeconds(60)));
      assertTrue(state.rightsSnapshot().attestedUntil().isEmpty());
    }
  }

  @Nested
  @DisplayName("on a planned stop")
  class Stops {

    @Test
    @DisplayName("announces its departure only after its rights are no longer used")
    void releasesFirst() {
      read(1, SELF, OTHER);
      read(2, SELF);
      read(3, SELF, OTHER);
      List<MembershipEffect> stopped = apply(new MembershipEvent.StopRequested(), LATER);
      assertFalse(stopped.contains(new MembershipEffect.RightsReleased()));
      List<MembershipEffect> released =
          apply(new MembershipEvent.RightsApplied(state.sequence()), LATER);
      assertTrue(released.contains(new MembershipEffect.RightsReleased()));
      assertTrue(released.contains(new MembershipEffect.Send(OTHER, new DepartureNotice())));
    }

    @Test
    @DisplayName("publishes the rights snapshot again until it is applied")
    void resendsRightsSnapshot() {
      read(1, SELF, OTHER);
      apply(new MembershipEvent.StopRequested(), LATER);
      MembershipEffect rightsChanged =
          new MembershipEffect.RightsChanged(state.sequence(), state.rightsSnapshot());
      MonotonicTime next = LATER.plus(SETTINGS.attestationInterval());
      assertTrue(apply(new MembershipEvent.Tick(1), next).contains(rightsChanged));
      apply(new MembershipEvent.RightsApplied(state.sequence()), next);
      MonotonicTime afterwards = next.plus(SETTINGS.attestationInterval());
      assertFalse(apply(new MembershipEvent.Tick(2), afterwards).contains(rightsChanged));
    }

    @Test
    @DisplayName("of another host attests to its next run and claims its rights without a wait")
    void claimsAtOnce() {
      read(1, SELF, OTHER);
      assertTrue(request(1, LATER).isPresent());
      Sender sender = new Sender(OTHER, new Incarnation(1));
      apply(new MembershipEvent.MessageReceived(sender, new DepartureNotice()), LATER);
      assertTrue(request(1, LATER).isEmpty());
      read(2, SELF);
      assertTrue(state.rightsSnapshot().mayClaimFrom(OTHER, LATER));
      read(3, SELF, OTHER);
      apply(new MembershipEvent.RightsApplied(state.sequence()), LATER);
      assertTrue(request(2, LATER).isPresent());
    }
  }

  @Test
  @DisplayName("ignores a host list that is not newer than the current one")
  void ignoresOldLists() {
    read(2, SELF, OTHER);
    read(1, SELF);
    assertEquals(2, state.hostList().version());
    assertTrue(state.rightsSnapshot().claimableFrom().isEmpty());
  }
}
