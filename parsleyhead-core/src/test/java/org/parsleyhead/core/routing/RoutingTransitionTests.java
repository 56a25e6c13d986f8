package org.parsleyhead.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.UpstreamItem;

@DisplayName("The routing transition")
class RoutingTransitionTests {

  private static final FailureDomainName NEAR = new FailureDomainName("near");
  private static final FailureDomainName FAR = new FailureDomainName("far");
  private static final UpstreamName ONE = new UpstreamName("one");
  private static final UpstreamName TWO = new UpstreamName("two");
  private static final UpstreamName DISTANT = new UpstreamName("distant");
  private static final RoutingSettings SETTINGS = RoutingSettings.defaults();

  private final RoutingTransition transition =
      new RoutingTransition(SETTINGS, DomainDistance.ownFirst(NEAR));
  private RoutingState state = RoutingState.initial();
  private MonotonicTime now = MonotonicTime.ORIGIN;
  private long nextAttempt;

  @BeforeEach
  void declareUpstreams() {
    declare(item(ONE, NEAR, false), item(TWO, NEAR, false), item(DISTANT, FAR, false));
  }

  private static UpstreamItem item(UpstreamName name, FailureDomainName domain, boolean leaving) {
    return new UpstreamItem(
        name, Endpoint.parse("10.0.0.1:80"), domain, Optional.empty(), leaving, false);
  }

  private void declare(UpstreamItem... items) {
    apply(new RoutingEvent.UpstreamsChanged(List.of(items)));
  }

  private List<RoutingEffect> apply(RoutingEvent event) {
    var step = transition.apply(state, event, now);
    state = step.state();
    return step.effects();
  }

  private RoutingEffect requestUpstream(boolean idempotent, UpstreamName... excluded) {
    RequestIdentifier identifier = new RequestIdentifier("attempt-" + nextAttempt++);
    long random = nextAttempt * 0x9e3779b97f4a7c15L;
    return apply(
            new RoutingEvent.UpstreamRequested(
                identifier, Set.of(ONE, TWO, DISTANT), Set.of(excluded), idempotent, random))
        .get(0);
  }

  private List<RoutingEffect> end(RoutingEffect sent, AttemptOutcome outcome) {
    RoutingEffect.Send send = assertInstanceOf(RoutingEffect.Send.class, sent);
    return apply(new RoutingEvent.AttemptEnded(send.identifier(), send.upstream(), outcome));
  }

  private UpstreamName target(RoutingEffect sent) {
    return assertInstanceOf(RoutingEffect.Send.class, sent).upstream();
  }

  private void eject(UpstreamName upstream) {
    while (!state.isEjected(upstream)) {
      RoutingEffect sent = requestUpstream(false);
      boolean fails = target(sent).equals(upstream);
      end(sent, fails ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED);
    }
  }

  @Test
  @DisplayName("prefers the upstreams in the closest failure domain")
  void prefersNearest() {
    Set<UpstreamName> used = new HashSet<>();
    for (int count = 0; count < 20; count++) {
      RoutingEffect sent = requestUpstream(true);
      used.add(target(sent));
      end(sent, AttemptOutcome.ANSWERED);
    }
    assertEquals(Set.of(ONE, TWO), used);
  }

  @Test
  @DisplayName(
      "uses upstreams in other failure domains when the close ones reach the spillover threshold")
  void spillsWhenBusy() {
    List<UpstreamName> used = new ArrayList<>();
    for (int count = 0; count < 2 * SETTINGS.spilloverThreshold() + 1; count++) {
      used.add(target(requestUpstream(true)));
    }
    assertEquals(DISTANT, used.get(used.size() - 1));
    assertEquals(1, used.stream().filter(DISTANT::equals).count());
  }

  @Test
  @DisplayName("sends nothing to a leaving or excluded upstream")
  void avoidsLeavingAndExcluded() {
    declare(item(ONE, NEAR, true), item(TWO, NEAR, false), item(DISTANT, FAR, false));
    for (int count = 0; count < 20; count++) {
      assertEquals(DISTANT, target(requestUpstream(true, TWO)));
    }
    assertInstanceOf(RoutingEffect.Refuse.class, requestUpstream(true, TWO, DISTANT));
  }

  @Nested
  @DisplayName("after an upstream was ejected for consecutive failures")
  class Ejection {

    @BeforeEach
    void ejectOne() {
      eject(ONE);
    }

    @Test
    @DisplayName("sends calls to the other upstreams")
    void sendsElsewhere() {
      for (int count = 0; count < 10; count++) {
        assertEquals(TWO, target(requestUpstream(true)));
      }
    }

    @Test
    @DisplayName("probes it with a single idempotent call once the ejection has expired")
    void probesOnce() {
      now = now.plus(SETTINGS.initialEjection());
      assertEquals(TWO, target(requestUpstream(false)));
      RoutingEffect probe = requestUpstream(true);
      assertEquals(ONE, target(probe));
      assertEquals(TWO, target(requestUpstream(true)));
      assertEquals(List.of(new RoutingEffect.Restored(ONE)), end(probe, AttemptOutcome.ANSWERED));
      assertFalse(state.isEjected(ONE));
    }

    @Test
    @DisplayName("doubles the ejection if the probe fails")
    void ejectsLonger() {
      now = now.plus(SETTINGS.initialEjection());
      Duration longer = SETTINGS.initialEjection().multipliedBy(2);
      assertEquals(
          List.of(new RoutingEffect.Ejected(ONE, longer)),
          end(requestUpstream(true), AttemptOutcome.FAILED));
      assertTrue(state.isEjected(ONE));
    }

    @Test
    @DisplayName("uses ejected upstreams if most upstreams are ejected")
    void usesEjectedIfMostFail() {
      eject(TWO);
      eject(DISTANT);
      assertInstanceOf(RoutingEffect.Send.class, requestUpstream(false));
    }
  }
}
