package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.instance.Instance;

@DisplayName("What instances state in their answers")
class InstanceNoticeTests {

  private static final Instance FIRST = DispatchFixture.plain("p1");
  private static final Instance SECOND = DispatchFixture.plain("p2");

  private final DispatchFixture fixture = DispatchFixture.running();

  private void leave(Instance instance) {
    fixture.apply(new DispatchEvent.InstanceNotice(instance, true, Optional.empty()));
  }

  private void refuseFor(Instance instance, Duration duration) {
    fixture.apply(new DispatchEvent.InstanceNotice(instance, false, Optional.of(duration)));
  }

  private String target() {
    return fixture.send("/read/x", Optional.empty()).instance().identifier();
  }

  @BeforeEach
  void leaveOneOfTwo() {
    leave(FIRST);
  }

  @Test
  @DisplayName("end new requests to one that is about to leave, whatever the platform announces")
  void leaving() {
    fixture.announce(DispatchFixture.instance("p1", "plain", false, 9, Map.of()));
    for (int request = 0; request < 6; request++) {
      assertEquals("p2", target());
    }
  }

  @Test
  @DisplayName("concern only the run of the server that stated it")
  void concernOneRun() {
    leave(SECOND);
    Instance restarted =
        new Instance(
            "p2",
            2,
            "plain",
            SECOND.endpoint(),
            DispatchFixture.NEAR,
            8,
            false,
            SECOND.models(),
            Map.of(),
            1);
    fixture.announce(restarted);
    assertEquals("p2", target());
    leave(SECOND);
    assertEquals("p2", target());
  }

  @Test
  @DisplayName("let a request wait for the only instance that refuses for a short time")
  void waitsForRefusing() {
    refuseFor(SECOND, Duration.ofSeconds(1));
    DispatchEffect.WakeAfter wake =
        DispatchFixture.only(
            fixture.receive("/read/x", Optional.empty()), DispatchEffect.WakeAfter.class);
    assertEquals(Duration.ofSeconds(1), wake.delay());
    fixture.advance(wake.delay());
    List<DispatchEffect> effects =
        fixture.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()));
    DispatchFixture.only(effects, DispatchEffect.Send.class);
  }

  @Test
  @DisplayName("refuse a request at once, with a time, if all instances refuse for too long")
  void refusesAtOnce() {
    refuseFor(SECOND, Duration.ofSeconds(30));
    DispatchEffect.Refuse refuse =
        DispatchFixture.only(
            fixture.receive("/read/x", Optional.empty()), DispatchEffect.Refuse.class);
    assertEquals(DispatchRefusal.Code.NO_ROOM, refuse.refusal().code());
    assertTrue(refuse.refusal().retryAfter().orElseThrow().compareTo(Duration.ofSeconds(30)) >= 0);
  }

  @Test
  @DisplayName("are not taken at their word for ever")
  void boundsRefusal() {
    refuseFor(SECOND, Duration.ofDays(9));
    fixture.advance(Duration.ofMinutes(11));
    assertEquals("p2", target());
  }
}
