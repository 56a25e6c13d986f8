package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;

@DisplayName("The evacuation of a failure domain")
class EvacuationTests {

  private static final FailureDomainName FAR = new FailureDomainName("far");
  private static final AdapterKey OTHER = new AdapterKey("base", "a2");

  private final DispatchFixture fixture = DispatchFixture.running();

  /** Replaces the second server of each service by one of another failure domain. */
  @BeforeEach
  void spread() {
    for (String identifier : List.of("p2", "e2")) {
      fixture.apply(new DispatchEvent.InstanceRemoved(identifier));
    }
    fixture.advance(Duration.ofSeconds(2));
    fixture.announce(far("p3", "plain", Map.of()), far("e3", "engine", Map.of(OTHER, 1L)));
    fixture.apply(new DispatchEvent.InstanceOwnersChanged(Set.of("e1", "e2", "e3"), Duration.ZERO));
  }

  private static Instance far(String name, String service, Map<AdapterKey, Long> adapters) {
    return new Instance(
        name,
        1,
        service,
        Endpoint.parse("10.0.1.1:80"),
        FAR,
        8,
        false,
        Set.of("base"),
        adapters,
        1);
  }

  private List<DispatchEffect> evacuate(FailureDomainName domain, boolean evacuated) {
    return fixture.apply(new DispatchEvent.EvacuationChanged(domain, evacuated));
  }

  private void assertRefused(List<DispatchEffect> effects) {
    DispatchRefusal refusal = DispatchFixture.only(effects, DispatchEffect.Refuse.class).refusal();
    assertEquals(DispatchRefusal.Code.NO_INSTANCE, refusal.code());
    assertEquals(503, refusal.code().status());
  }

  @Test
  @DisplayName("keeps first sends away from it, also while requests in flight load the other one")
  void firstSends() {
    evacuate(FAR, true);
    for (int request = 0; request < 20; request++) {
      assertEquals("p1", fixture.send("/read/x", Optional.empty()).instance().identifier());
    }
  }

  @Test
  @DisplayName("keeps second sends away from it and refuses them if no other server is left")
  void secondSends() {
    evacuate(FAR, true);
    DispatchEffect.Send first = fixture.send("/read/x", Optional.empty());
    evacuate(DispatchFixture.NEAR, true);
    assertRefused(fixture.end(first, AttemptOutcome.NOT_SENT, false));
  }

  @Test
  @DisplayName("does not cancel requests in flight")
  void requestsInFlight() {
    DispatchEffect.Send send = fixture.send("/read/x", Optional.empty());
    assertEquals(List.of(), evacuate(send.instance().failureDomain(), true));
    fixture.end(send, AttemptOutcome.COMPLETED, true);
    assertEquals(0, fixture.state().activeRequests());
  }

  @Test
  @DisplayName("refuses requests at once if all servers are evacuated, as not run")
  void allEvacuated() {
    evacuate(FAR, true);
    evacuate(DispatchFixture.NEAR, true);
    assertRefused(fixture.receive("/read/x", Optional.empty()));
    assertRefused(fixture.receive("/chat/x", DispatchFixture.work(DispatchFixture.ADAPTER)));
  }

  @Test
  @DisplayName("refuses requests that wait for a server already")
  void waitingRequests() {
    evacuate(FAR, true);
    fixture.apply(
        new DispatchEvent.InstanceNotice(
            DispatchFixture.plain("p1"), false, Optional.of(Duration.ofSeconds(1))));
    DispatchFixture.only(
        fixture.receive("/read/x", Optional.empty()), DispatchEffect.WakeAfter.class);
    assertRefused(evacuate(DispatchFixture.NEAR, true));
  }

  @Test
  @DisplayName("requests no load there, not even of an adapter that only its server holds")
  void loads() {
    evacuate(FAR, true);
    List<DispatchEffect> effects = fixture.receive("/chat/x", DispatchFixture.work(OTHER));
    DispatchEffect.RequestLoad load =
        DispatchFixture.only(effects, DispatchEffect.RequestLoad.class);
    assertEquals("e1", load.instance());
  }

  @Test
  @DisplayName("refuses a request that waits for a load there if no other server is left")
  void loadInProgress() {
    evacuate(DispatchFixture.NEAR, true);
    AdapterKey third = new AdapterKey("base", "a3");
    List<DispatchEffect> effects = fixture.receive("/chat/x", DispatchFixture.work(third));
    DispatchEffect.RequestLoad load =
        DispatchFixture.only(effects, DispatchEffect.RequestLoad.class);
    assertEquals("e3", load.instance());
    assertRefused(evacuate(FAR, true));
  }

  @Test
  @DisplayName("covers servers whose announcement was removed recently")
  void recentlyRemoved() {
    evacuate(FAR, true);
    fixture.apply(new DispatchEvent.InstanceRemoved("p1"));
    fixture.apply(new DispatchEvent.InstanceRemoved("p3"));
    assertEquals("p1", fixture.send("/read/x", Optional.empty()).instance().identifier());
    evacuate(DispatchFixture.NEAR, true);
    assertRefused(fixture.receive("/read/x", Optional.empty()));
  }

  @Test
  @DisplayName("overlaps with others and ends alone")
  void overlap() {
    evacuate(FAR, true);
    evacuate(DispatchFixture.NEAR, true);
    evacuate(FAR, false);
    assertEquals("p3", fixture.send("/read/x", Optional.empty()).instance().identifier());
    evacuate(DispatchFixture.NEAR, false);
    assertEquals(0, fixture.state().placement().evacuated().size());
  }

  @Test
  @DisplayName("applies to servers that become known later, as after the start of a host")
  void beforeServers() {
    FailureDomainName third = new FailureDomainName("third");
    evacuate(third, true);
    evacuate(FAR, true);
    evacuate(DispatchFixture.NEAR, true);
    fixture.announce(
        new Instance(
            "p9",
            1,
            "plain",
            Endpoint.parse("10.0.2.1:80"),
            third,
            8,
            false,
            Set.of(),
            Map.of(),
            1));
    assertRefused(fixture.receive("/read/x", Optional.empty()));
    assertTrue(fixture.state().placement().evacuated().contains(third));
  }
}
