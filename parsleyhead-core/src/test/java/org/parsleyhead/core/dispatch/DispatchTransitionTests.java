package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;

@DisplayName("Decisions on requests")
class DispatchTransitionTests {

  private static final AdapterKey ELSEWHERE = new AdapterKey("base", "a2");

  private final DispatchFixture host = DispatchFixture.running();

  private DispatchRefusal.Code refusal(List<DispatchEffect> effects) {
    return only(effects, DispatchEffect.Refuse.class).refusal().code();
  }

  @Nested
  @DisplayName("on admission")
  class OnAdmission {

    @Test
    @DisplayName("promise that nothing has run while no catalogue is known")
    void refusesWithoutCatalogue() {
      DispatchFixture fresh = new DispatchFixture();
      assertEquals(
          DispatchRefusal.Code.NOT_READY, refusal(fresh.receive("/read/x", Optional.empty())));
    }

    @Test
    @DisplayName("refuse a path without a route")
    void refusesUnknownPath() {
      assertEquals(
          DispatchRefusal.Code.NO_ROUTE, refusal(host.receive("/other/", Optional.empty())));
    }

    @Test
    @DisplayName("refuse a key that a newer catalogue has dropped")
    void refusesWithdrawnKey() {
      host.send("/read/x", Optional.empty());
      host.apply(
          new DispatchEvent.CatalogueChanged(
              new org.parsleyhead.core.serving.ServiceCatalogue(
                  2,
                  List.of(DispatchFixture.catalogue(1, 1).route("desk.example", "/read/").get()),
                  List.of(),
                  org.parsleyhead.core.serving.RequestLimits.INITIAL,
                  List.of(
                      new org.parsleyhead.core.serving.AccountLimits(
                          new org.parsleyhead.core.api.ClientAccountName("account"),
                          Set.of("another-key"),
                          java.util.OptionalInt.empty(),
                          false,
                          1,
                          0,
                          0)))));
      assertEquals(
          DispatchRefusal.Code.UNKNOWN_KEY, refusal(host.receive("/read/x", Optional.empty())));
    }

    @Test
    @DisplayName("never go back to an older catalogue")
    void keepsNewestCatalogue() {
      host.apply(new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(7, 5)));
      host.apply(new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(6, 5)));
      assertEquals(7, host.state().catalogue().version());
    }

    @Test
    @DisplayName("refuse an account that is over its rate, with the time until it may return")
    void refusesOverRate() {
      host.apply(new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(2, 300)));
      for (int count = 0; count < 8; count++) {
        host.receive("/chat/x", work(ADAPTER));
      }
      DispatchRefusal last =
          only(host.receive("/chat/x", work(ADAPTER)), DispatchEffect.Refuse.class).refusal();
      assertEquals(DispatchRefusal.Code.OVER_RATE, last.code());
      assertTrue(last.retryAfter().orElseThrow().toMillis() > 0);
    }

    @Test
    @DisplayName("count what other hosts report against the rate")
    void countsPeers() {
      Map<String, Double> usage = Map.of("account", 0.0);
      host.apply(new DispatchEvent.PeerReported("peer", 1, false, usage, Map.of()));
      host.advance(Duration.ofMillis(300));
      host.apply(
          new DispatchEvent.PeerReported("peer", 1, false, Map.of("account", 50_000.0), Map.of()));
      assertEquals(DispatchRefusal.Code.OVER_RATE, refusal(host.receive("/chat/x", work(ADAPTER))));
    }

    @Test
    @DisplayName("take up no stream shortly before the process stops, but whole answers")
    void refusesStreamsWhenStopping() {
      host.apply(new DispatchEvent.Stopping(StopStage.NO_STREAMS));
      assertEquals(DispatchRefusal.Code.STOPPING, refusal(host.receive("/chat/x", work(ADAPTER))));
      host.send("/read/x", Optional.empty());
      host.apply(new DispatchEvent.Stopping(StopStage.NOTHING));
      assertEquals(
          DispatchRefusal.Code.STOPPING, refusal(host.receive("/read/x", Optional.empty())));
    }
  }

  @Nested
  @DisplayName("after a send")
  class AfterSend {

    @Test
    @DisplayName("never repeat a request that may have run and must not be repeated")
    void neverRepeats() {
      DispatchEffect.Send send = host.send("/book/x", Optional.empty());
      assertEquals(
          DispatchRefusal.Code.UPSTREAM_FAILED,
          refusal(host.end(send, AttemptOutcome.BROKEN, false)));
    }

    @Test
    @DisplayName("send a request elsewhere that was not written at all")
    void repeatsUnsent() {
      DispatchEffect.Send send = host.send("/book/x", Optional.empty());
      DispatchEffect.Send second =
          only(host.end(send, AttemptOutcome.NOT_SENT, false), DispatchEffect.Send.class);
      assertNotEquals(send.instance().identifier(), second.instance().identifier());
    }

    @Test
    @DisplayName("repeat an idempotent request, and deliver the second failure")
    void deliversHeldFailure() {
      DispatchEffect.Send send = host.send("/read/x", Optional.empty());
      DispatchEffect.Send second =
          only(host.end(send, AttemptOutcome.FAILED, false), DispatchEffect.Send.class);
      only(host.end(second, AttemptOutcome.FAILED, false), DispatchEffect.DeliverHeld.class);
    }

    @Test
    @DisplayName("go on with a stream elsewhere that may be resumed")
    void resumes() {
      DispatchEffect.Send send = host.send("/chat/x", work(ADAPTER));
      host.apply(new DispatchEvent.AnswerBegun(send.request().key(), 1));
      DispatchEffect.Send second =
          only(host.end(send, AttemptOutcome.BROKEN, true), DispatchEffect.Send.class);
      assertNotEquals(send.instance().identifier(), second.instance().identifier());
    }

    @Test
    @DisplayName("break off a stream that may not be resumed")
    void aborts() {
      DispatchEffect.Send send = host.send("/audit/x", work(ADAPTER));
      host.apply(new DispatchEvent.AnswerBegun(send.request().key(), 1));
      only(host.end(send, AttemptOutcome.BROKEN, true), DispatchEffect.Abort.class);
    }

    @Test
    @DisplayName("cancel the send when the caller leaves, and forget the request")
    void cancels() {
      DispatchEffect.Send send = host.send("/read/x", Optional.empty());
      only(
          host.apply(new DispatchEvent.CallerLeft(send.request().key())),
          DispatchEffect.CancelAttempt.class);
      assertEquals(0, host.state().activeRequests());
      assertEquals(Map.of(), host.state().sentLoads());
    }

    @Test
    @DisplayName("answer at the time limit")
    void answersAtLimit() {
      List<DispatchEffect> effects = host.receive("/book/x", Optional.empty());
      DispatchEffect.WakeAfter wake = only(effects, DispatchEffect.WakeAfter.class);
      host.advance(wake.delay());
      assertEquals(
          DispatchRefusal.Code.TIMED_OUT,
          refusal(host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()))));
    }
  }

  @Nested
  @DisplayName("on instances")
  class OnInstances {

    @Test
    @DisplayName("send nothing to one that leaves, also after an old announcement")
    void avoidsLeaving() {
      host.announce(
          DispatchFixture.instance("p1", "plain", true, 5, Map.of()),
          DispatchFixture.instance("p1", "plain", false, 6, Map.of()),
          DispatchFixture.instance("p1", "plain", false, 4, Map.of()));
      for (int count = 0; count < 6; count++) {
        assertEquals("p2", host.send("/read/x", Optional.empty()).instance().identifier());
      }
    }

    @Test
    @DisplayName("use removed ones for a moment if there is no other, and then no longer")
    void usesRemovedForMoment() {
      host.apply(new DispatchEvent.InstanceRemoved("p1"));
      host.apply(new DispatchEvent.InstanceRemoved("p2"));
      host.send("/read/x", Optional.empty());
      host.advance(Duration.ofMillis(1600));
      assertEquals(
          DispatchRefusal.Code.NO_INSTANCE, refusal(host.receive("/read/x", Optional.empty())));
    }

    @Test
    @DisplayName("send nothing to a server that does not hold the base model")
    void needsBaseModel() {
      host.announce(
          new org.parsleyhead.core.instance.Instance(
              "e1",
              2,
              "engine",
              org.parsleyhead.core.api.Endpoint.parse("10.0.0.1:80"),
              DispatchFixture.NEAR,
              8,
              false,
              Set.of(),
              Map.of(),
              1));
      for (int count = 0; count < 4; count++) {
        assertEquals("e2", host.send("/chat/x", work(ADAPTER)).instance().identifier());
      }
    }

    @Test
    @DisplayName("ask for a load of an adapter that is nowhere, and send once it is there")
    void loadsAdapter() {
      DispatchEffect.AskLoad ask =
          only(host.receive("/chat/x", work(ELSEWHERE)), DispatchEffect.AskLoad.class);
      DispatchEffect.WakeAfter wake =
          only(
              host.apply(
                  new DispatchEvent.LoadOrdered(ask.instance(), ELSEWHERE, Duration.ofMillis(250))),
              DispatchEffect.WakeAfter.class);
      host.advance(Duration.ofMillis(250));
      DispatchEffect.Send send =
          only(
              host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
              DispatchEffect.Send.class);
      assertEquals(ask.instance(), send.instance().identifier());
    }

    @Test
    @DisplayName("try another server when a load is refused")
    void triesOtherServer() {
      DispatchEffect.AskLoad ask =
          only(host.receive("/chat/x", work(ELSEWHERE)), DispatchEffect.AskLoad.class);
      DispatchEffect.AskLoad second =
          only(
              host.apply(new DispatchEvent.LoadRefused(ask.instance(), ELSEWHERE, "no_slot")),
              DispatchEffect.AskLoad.class);
      assertNotEquals(ask.instance(), second.instance());
    }

    @Test
    @DisplayName("leave a silent server only if another one can take the request at once")
    void leavesSilentServer() {
      host.apply(new DispatchEvent.InstanceRemoved("e2"));
      host.advance(Duration.ofSeconds(2));
      host.announce(DispatchFixture.instance("e3", "engine", false, 1, Map.of()));
      List<DispatchEffect> sent = host.receive("/chat/x", work(DispatchFixture.ADAPTER));
      DispatchEffect.WakeAfter check = only(sent, DispatchEffect.WakeAfter.class);
      host.advance(check.delay());
      List<DispatchEffect> waited =
          host.apply(new DispatchEvent.Wake(check.requestKey(), check.wakeNumber()));
      DispatchEffect.WakeAfter again = only(waited, DispatchEffect.WakeAfter.class);
      assertEquals(1, waited.size());
      host.announce(DispatchFixture.engine("e4"));
      host.advance(again.delay());
      List<DispatchEffect> moved =
          host.apply(new DispatchEvent.Wake(again.requestKey(), again.wakeNumber()));
      only(moved, DispatchEffect.CancelAttempt.class);
      assertEquals("e4", only(moved, DispatchEffect.Send.class).instance().identifier());
    }

    @Test
    @DisplayName("load an adapter at a server that some host gives orders to")
    void loadsWhereOwned() {
      for (String owned : List.of("e1", "e2")) {
        host.apply(new DispatchEvent.OwnersKnown(Set.of(owned), Duration.ZERO));
        DispatchEffect.AskLoad ask =
            only(host.receive("/chat/x", work(ELSEWHERE)), DispatchEffect.AskLoad.class);
        assertEquals(owned, ask.instance());
      }
    }

    @Test
    @DisplayName("wait for a host that gives orders, and ask it for the load")
    void waitsForOwner() {
      host.apply(new DispatchEvent.OwnersKnown(Set.of(), Duration.ZERO));
      DispatchEffect.WakeAfter wake =
          only(host.receive("/chat/x", work(ELSEWHERE)), DispatchEffect.WakeAfter.class);
      host.advance(wake.delay());
      host.apply(new DispatchEvent.OwnersKnown(Set.of("e2"), Duration.ZERO));
      DispatchEffect.AskLoad ask =
          only(
              host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
              DispatchEffect.AskLoad.class);
      assertEquals("e2", ask.instance());
    }

    @Test
    @DisplayName("tell at once when to come back if no host gives orders in time")
    void refusesUntilOwnersAreThere() {
      Duration othersIn = Duration.ofSeconds(4);
      host.apply(new DispatchEvent.OwnersKnown(Set.of(), othersIn));
      DispatchRefusal refusal =
          only(host.receive("/chat/x", work(ELSEWHERE)), DispatchEffect.Refuse.class).refusal();
      assertEquals(DispatchRefusal.Code.ADAPTER_UNAVAILABLE, refusal.code());
      assertEquals(othersIn, refusal.retryAfter().orElseThrow());
    }

    @Test
    @DisplayName("serve adapters that are there while no host gives orders")
    void servesResidentAdapters() {
      host.apply(new DispatchEvent.OwnersKnown(Set.of(), Duration.ofSeconds(4)));
      host.send("/chat/x", work(DispatchFixture.ADAPTER));
    }

    @Test
    @DisplayName("use no older version of an adapter than the declared one, and name it")
    void followsDeclaredVersion() {
      AdapterKey adapter = DispatchFixture.ADAPTER;
      assertEquals(0, host.send("/chat/x", work(adapter)).adapterVersion());
      host.apply(new DispatchEvent.VersionDeclared(adapter, 3));
      only(host.receive("/chat/x", work(adapter)), DispatchEffect.AskLoad.class);
      host.announce(
          DispatchFixture.instance("e1", "engine", false, 2, Map.of(adapter, 2L)),
          DispatchFixture.instance("e2", "engine", false, 2, Map.of(adapter, 3L)));
      DispatchEffect.Send send = host.send("/chat/x", work(adapter));
      assertEquals("e2", send.instance().identifier());
      assertEquals(3, send.adapterVersion());
      host.apply(new DispatchEvent.VersionDeclared(adapter, 2));
      assertEquals(3, host.send("/chat/x", work(adapter)).adapterVersion());
    }

    @Test
    @DisplayName("wait a little longer for an adapter that is late, and ask for no second load")
    void waitsForLateAdapter() {
      DispatchEffect.AskLoad ask =
          only(host.receive("/chat/x", work(ELSEWHERE)), DispatchEffect.AskLoad.class);
      DispatchEffect.WakeAfter wake =
          only(
              host.apply(
                  new DispatchEvent.LoadOrdered(ask.instance(), ELSEWHERE, Duration.ofMillis(250))),
              DispatchEffect.WakeAfter.class);
      host.advance(Duration.ofMillis(250));
      DispatchEffect.Send early =
          only(
              host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
              DispatchEffect.Send.class);
      List<DispatchEffect> effects = host.end(early, AttemptOutcome.MISDIRECTED, false);
      assertTrue(effects.stream().noneMatch(DispatchEffect.AskLoad.class::isInstance));
      DispatchEffect.WakeAfter again = only(effects, DispatchEffect.WakeAfter.class);
      host.advance(again.delay());
      only(
          host.apply(new DispatchEvent.Wake(again.requestKey(), again.wakeNumber())),
          DispatchEffect.Send.class);
    }

    @Test
    @DisplayName("wait for a slot while there is time, and refuse truly when there is none")
    void waitsForSlot() {
      List<DispatchEffect> effects = host.receive("/chat/x", work(ELSEWHERE));
      for (int refused = 0; refused < 3; refused++) {
        DispatchEffect.AskLoad ask = only(effects, DispatchEffect.AskLoad.class);
        effects = host.apply(new DispatchEvent.LoadRefused(ask.instance(), ELSEWHERE, "no_slot"));
      }
      DispatchEffect.WakeAfter wake = only(effects, DispatchEffect.WakeAfter.class);
      host.advance(wake.delay());
      only(
          host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
          DispatchEffect.AskLoad.class);
    }

    @Test
    @DisplayName("believe the owner's report before an announcement that lags")
    void believesOwner() {
      host.apply(
          new DispatchEvent.AdaptersReported(
              new AdapterReport("e1", 1, 40, Set.of("base"), Map.of(ELSEWHERE, 1L))));
      host.announce(DispatchFixture.instance("e1", "engine", false, 2, Map.of(ADAPTER, 1L)));
      DispatchEffect.Send send = host.send("/chat/x", work(ELSEWHERE));
      assertEquals("e1", send.instance().identifier());
    }
  }
}
