package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;

@DisplayName("A cold server")
class ColdServerTests {

  private static final Duration COLD = Duration.ofSeconds(6);
  private static final Duration INTERVAL = Duration.ofMillis(250);

  private final DispatchFixture fixture = DispatchFixture.running();

  @BeforeEach
  void limitColdSends() {
    fixture.apply(new DispatchEvent.CatalogueChanged(catalogue(2, 10)));
  }

  private static ServiceCatalogue catalogue(long version, double coldRequestsPerSecond) {
    return new ServiceCatalogue(
        version,
        DispatchFixture.routes(),
        List.of(new ServiceDefinition("plain", 10, Optional.empty(), COLD, coldRequestsPerSecond)),
        RequestLimits.INITIAL,
        List.of(DispatchFixture.account(0)));
  }

  private void announce(String identifier, long number, Duration coldFor) {
    Instance plain = DispatchFixture.plain(identifier);
    fixture.announce(
        new Instance(
            identifier,
            1,
            "plain",
            plain.endpoint(),
            DispatchFixture.NEAR,
            8,
            false,
            Set.of(),
            Map.of(),
            number,
            coldFor));
  }

  private void announceBothCold() {
    announce("p1", 2, COLD);
    announce("p2", 2, COLD);
  }

  private long sendsTo(String identifier, int requests) {
    long sends = 0;
    for (int request = 0; request < requests; request++) {
      DispatchEffect.Send send = fixture.send("/read/x", Optional.empty());
      sends += send.instance().identifier().equals(identifier) ? 1 : 0;
    }
    return sends;
  }

  private boolean cold(String identifier) {
    return fixture.state().placement().cold().find(identifier, fixture.now()).isPresent();
  }

  @Test
  @DisplayName("gets one request in each interval, the others go to servers that are not cold")
  void limitsSends() {
    announce("p1", 2, COLD);
    assertEquals(1, sendsTo("p1", 30));
    fixture.advance(INTERVAL.minusMillis(1));
    assertEquals(0, sendsTo("p1", 30));
    fixture.advance(Duration.ofMillis(1));
    assertEquals(1, sendsTo("p1", 30));
    assertEquals(2, fixture.state().placement().cold().sends());
  }

  @Test
  @DisplayName("is limited after a statement in a response, until the stated time is over")
  void statedInResponse() {
    fixture.apply(
        new DispatchEvent.InstanceNotice(
            DispatchFixture.plain("p1"), false, Optional.empty(), Optional.of(COLD)));
    assertEquals(1, sendsTo("p1", 30));
    fixture.advance(COLD);
    assertTrue(sendsTo("p1", 30) > 1);
    fixture.apply(new DispatchEvent.Tick());
    assertEquals(0, fixture.state().placement().cold().servers().size());
  }

  @Test
  @DisplayName("is not limited any more if a newer announcement says so, but if an older one does")
  void announcedWarm() {
    announce("p1", 5, COLD);
    announce("p1", 4, Duration.ZERO);
    assertTrue(cold("p1"));
    announce("p1", 6, Duration.ZERO);
    assertFalse(cold("p1"));
  }

  @Test
  @DisplayName("is served as before if the configuration sets no rate")
  void noRate() {
    fixture.apply(new DispatchEvent.CatalogueChanged(catalogue(3, 0)));
    announceBothCold();
    assertTrue(sendsTo("p1", 30) > 10);
  }

  @Test
  @DisplayName("lets requests wait for the next send, each for its turn, if all others are cold")
  void waits() {
    announceBothCold();
    assertEquals(1, sendsTo("p1", 2));
    List<DispatchEffect> first = fixture.receive("/read/x", Optional.empty());
    List<DispatchEffect> second = fixture.receive("/read/x", Optional.empty());
    assertEquals(INTERVAL, DispatchFixture.only(first, DispatchEffect.WakeAfter.class).delay());
    assertEquals(
        INTERVAL.plus(INTERVAL.dividedBy(2)),
        DispatchFixture.only(second, DispatchEffect.WakeAfter.class).delay());
    DispatchFixture.only(fixture.wake(first), DispatchEffect.Send.class);
  }

  @Test
  @DisplayName("refuses a request at once whose turn comes too late, with the time of that turn")
  void refuses() {
    announceBothCold();
    sendsTo("p1", 2);
    List<DispatchEffect> effects =
        fixture.receive("/read/x", Optional.empty(), Duration.ofMillis(300), key -> {});
    DispatchRefusal refusal = DispatchFixture.only(effects, DispatchEffect.Refuse.class).refusal();
    assertEquals(DispatchRefusal.Code.NO_ROOM, refusal.code());
    assertTrue(refusal.retryAfter().orElseThrow().compareTo(INTERVAL) >= 0);
  }

  @Test
  @DisplayName("is not used by a host without a share, nor by one without a majority")
  void shares() {
    announce("p1", 2, COLD);
    List<String> hosts = List.of("h1", "h2", "h3", "h4", "h5", "self");
    assertTrue(Rendezvous.order("p1", hosts).indexOf("self") >= 2, "choose other host names");
    fixture.apply(new DispatchEvent.LiveHostsChanged(hosts, 6));
    assertEquals(0, sendsTo("p1", 30));
    fixture.apply(new DispatchEvent.LiveHostsChanged(List.of("self"), 3));
    assertEquals(0, sendsTo("p1", 30));
    fixture.apply(new DispatchEvent.LiveHostsChanged(List.of("self", "h9"), 3));
    assertEquals(0, sendsTo("p1", 30));
    fixture.advance(Duration.ofSeconds(1));
    assertEquals(1, sendsTo("p1", 30));
  }

  @Test
  @DisplayName("results from the end of an evacuation until a newer announcement")
  void afterEvacuation() {
    fixture.apply(new DispatchEvent.EvacuationChanged(DispatchFixture.NEAR, true));
    fixture.apply(new DispatchEvent.EvacuationChanged(DispatchFixture.NEAR, false));
    announce("p1", 2, Duration.ZERO);
    assertTrue(cold("p1"), "the announcement may have been written before");
    fixture.advance(Duration.ofSeconds(1));
    announce("p1", 3, Duration.ZERO);
    assertFalse(cold("p1"));
    assertTrue(cold("p2"));
    fixture.advance(COLD);
    assertFalse(cold("p2"));
  }
}
