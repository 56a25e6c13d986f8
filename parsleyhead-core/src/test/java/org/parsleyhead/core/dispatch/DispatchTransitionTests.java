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

@DisplayName("The dispatch transition")
class DispatchTransitionTests {

  private static final AdapterKey UNLOADED_ADAPTER = new AdapterKey("base", "a2");

  private final DispatchFixture host = DispatchFixture.running();

  private DispatchRefusal.Code refusal(List<DispatchEffect> effects) {
    return only(effects, DispatchEffect.Refuse.class).refusal().code();
  }

  @Nested
  @DisplayName("on admission")
  class OnAdmission {

    @Test
    @DisplayName("holds requests until the first catalogue and instances are received")
    void holdsUntilCatalogue() {
      DispatchFixture fresh = new DispatchFixture();
      only(fresh.receive("/read/x", Optional.empty()), DispatchEffect.WakeAfter.class);
      only(fresh.receive("/book/x", Optional.empty()), DispatchEffect.WakeAfter.class);
      fresh.advance(Duration.ofMillis(150));
      assertEquals(
          List.of(),
          fresh.apply(new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(1, 10_000))));
      List<DispatchEffect> effects =
          fresh.apply(new DispatchEvent.InstancesAnnounced(List.of(DispatchFixture.plain("p1"))));
      List<String> sent =
          effects.stream()
              .filter(DispatchEffect.Send.class::isInstance)
              .map(effect -> ((DispatchEffect.Send) effect).request().path())
              .toList();
      assertEquals(List.of("/read/x", "/book/x"), sent);
      assertEquals(2, fresh.state().activeRequests());
    }

    @Test
    @DisplayName("refuses a held request as not run if no catalogue is received in time")
    void refusesWithoutCatalogue() {
      DispatchFixture fresh = new DispatchFixture();
      DispatchEffect.WakeAfter wake =
          only(fresh.receive("/read/x", Optional.empty()), DispatchEffect.WakeAfter.class);
      fresh.advance(wake.delay());
      assertTrue(wake.delay().compareTo(Duration.ofMillis(1500)) <= 0);
      assertEquals(
          DispatchRefusal.Code.NOT_READY,
          refusal(fresh.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()))));
      assertEquals(0, fresh.state().activeRequests());
      assertEquals(
          DispatchRefusal.Code.NOT_READY, refusal(fresh.receive("/read/x", Optional.empty())));
    }

    @Test
    @DisplayName("forgets a held request whose caller disconnects")
    void forgetsHeldRequest() {
      DispatchFixture fresh = new DispatchFixture();
      DispatchEffect.WakeAfter wake =
          only(fresh.receive("/read/x", Optional.empty()), DispatchEffect.WakeAfter.class);
      fresh.apply(new DispatchEvent.CallerDisconnected(wake.requestKey()));
      assertEquals(0, fresh.state().activeRequests());
      assertEquals(
          List.of(), fresh.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())));
    }

    @Test
    @DisplayName("refuses a path without a route")
    void refusesUnknownPath() {
      assertEquals(
          DispatchRefusal.Code.NO_ROUTE, refusal(host.receive("/other/", Optional.empty())));
    }

    @Test
    @DisplayName("refuses a key that a newer catalogue no longer contains")
    void refusesRevokedKey() {
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
    @DisplayName("ignores a catalogue that is older than the current one")
    void keepsNewestCatalogue() {
      host.apply(new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(7, 5)));
      host.apply(new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(6, 5)));
      assertEquals(7, host.state().catalogue().version());
    }

    @Test
    @DisplayName("refuses an account that exceeds its rate, with a Retry-After")
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
    @DisplayName("counts usage reported by other hosts against the rate")
    void countsPeers() {
      Map<String, Double> usage = Map.of("account", 0.0);
      host.apply(new DispatchEvent.PeerReported("peer", 1, false, usage, Map.of()));
      host.advance(Duration.ofMillis(300));
      host.apply(
          new DispatchEvent.PeerReported("peer", 1, false, Map.of("account", 50_000.0), Map.of()));
      assertEquals(DispatchRefusal.Code.OVER_RATE, refusal(host.receive("/chat/x", work(ADAPTER))));
    }

    @Test
    @DisplayName("refuses streams that may not end in time, and everything at last, when stopping")
    void refusesStreamsWhenStopping() {
      host.apply(
          new DispatchEvent.Stopping(
              StopPlan.rejectEndingAfter(host.now().plus(Duration.ofSeconds(4)))));
      assertEquals(DispatchRefusal.Code.STOPPING, refusal(host.receive("/chat/x", work(ADAPTER))));
      only(
          host.receive("/read/x", Optional.empty(), Duration.ofSeconds(3), key -> {}),
          DispatchEffect.Send.class);
      host.apply(new DispatchEvent.Stopping(StopPlan.REJECT_ALL));
      assertEquals(
          DispatchRefusal.Code.STOPPING, refusal(host.receive("/read/x", Optional.empty())));
    }
  }

  @Nested
  @DisplayName("after a request was sent")
  class AfterSend {

    @Test
    @DisplayName("does not retry a non-idempotent request that may have run")
    void doesNotRetryNonIdempotent() {
      DispatchEffect.Send send = host.send("/book/x", Optional.empty());
      assertEquals(
          DispatchRefusal.Code.UPSTREAM_FAILED,
          refusal(host.end(send, AttemptOutcome.BROKEN, false)));
    }

    @Test
    @DisplayName("retries a request at another instance if nothing was written")
    void retriesUnwritten() {
      DispatchEffect.Send send = host.send("/book/x", Optional.empty());
      DispatchEffect.Send second =
          only(host.end(send, AttemptOutcome.NOT_SENT, false), DispatchEffect.Send.class);
      assertNotEquals(send.instance().identifier(), second.instance().identifier());
    }

    @Test
    @DisplayName("retries an idempotent request, and delivers the second error response")
    void deliversBufferedFailure() {
      DispatchEffect.Send send = host.send("/read/x", Optional.empty());
      DispatchEffect.Send second =
          only(host.end(send, AttemptOutcome.FAILED, false), DispatchEffect.Send.class);
      only(
          host.end(second, AttemptOutcome.FAILED, false),
          DispatchEffect.DeliverBufferedResponse.class);
    }

    @Test
    @DisplayName("resumes a resumable stream at another instance")
    void resumes() {
      DispatchEffect.Send send = host.send("/chat/x", work(ADAPTER));
      host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
      DispatchEffect.Send second =
          only(host.end(send, AttemptOutcome.BROKEN, true), DispatchEffect.Send.class);
      assertNotEquals(send.instance().identifier(), second.instance().identifier());
    }

    @Test
    @DisplayName("resumes a silent stream at another instance that can take it at once")
    void resumesSilentStream() {
      DispatchEffect.Send send = host.send("/chat/x", work(ADAPTER));
      host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
      List<DispatchEffect> effects =
          host.apply(new DispatchEvent.StreamSilent(send.request().key(), 1));
      assertTrue(only(effects, DispatchEffect.WithdrawAttempt.class).answering());
      assertNotEquals(
          send.instance().identifier(),
          only(host.end(send, AttemptOutcome.WITHDRAWN, true), DispatchEffect.Send.class)
              .instance()
              .identifier());
    }

    @Test
    @DisplayName("keeps a slow stream while no other instance can take it")
    void keepsSlowStream() {
      host.apply(new DispatchEvent.InstanceRemoved("e2"));
      host.advance(Duration.ofSeconds(2));
      DispatchEffect.Send send = host.send("/chat/x", work(ADAPTER));
      host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
      assertEquals(List.of(), host.apply(new DispatchEvent.StreamSilent(send.request().key(), 1)));
      assertEquals(1, host.state().activeRequests());
    }

    @Test
    @DisplayName("keeps a slow stream that is not resumable")
    void keepsSlowStreamThatIsNotResumable() {
      DispatchEffect.Send send = host.send("/audit/x", work(ADAPTER));
      host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
      assertEquals(List.of(), host.apply(new DispatchEvent.StreamSilent(send.request().key(), 1)));
    }

    @Test
    @DisplayName("aborts a stream that is not resumable")
    void aborts() {
      DispatchEffect.Send send = host.send("/audit/x", work(ADAPTER));
      host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
      only(host.end(send, AttemptOutcome.BROKEN, true), DispatchEffect.Abort.class);
    }

    @Test
    @DisplayName("cancels the attempt and removes the request when the caller disconnects")
    void cancels() {
      DispatchEffect.Send send = host.send("/read/x", Optional.empty());
      only(
          host.apply(new DispatchEvent.CallerDisconnected(send.request().key())),
          DispatchEffect.CancelAttempt.class);
      assertEquals(0, host.state().activeRequests());
      assertEquals(Map.of(), host.state().sentLoads());
    }

    @Test
    @DisplayName("refuses the request at its deadline")
    void refusesAtDeadline() {
      List<DispatchEffect> effects = host.receive("/book/x", Optional.empty());
      DispatchEffect.WakeAfter wake = only(effects, DispatchEffect.WakeAfter.class);
      host.advance(wake.delay());
      assertEquals(
          DispatchRefusal.Code.TIMED_OUT,
          refusal(host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()))));
    }
  }

  @Nested
  @DisplayName("when it chooses an instance")
  class OnInstances {

    @Test
    @DisplayName("sends nothing to a draining instance, not even after an outdated announcement")
    void avoidsDraining() {
      host.announce(
          DispatchFixture.instance("p1", "plain", true, 5, Map.of()),
          DispatchFixture.instance("p1", "plain", false, 6, Map.of()),
          DispatchFixture.instance("p1", "plain", false, 4, Map.of()));
      for (int count = 0; count < 6; count++) {
        assertEquals("p2", host.send("/read/x", Optional.empty()).instance().identifier());
      }
    }

    @Test
    @DisplayName("uses removed instances within the removal grace if there are no others")
    void usesRemovedWithinGrace() {
      host.apply(new DispatchEvent.InstanceRemoved("p1"));
      host.apply(new DispatchEvent.InstanceRemoved("p2"));
      host.send("/read/x", Optional.empty());
      host.advance(Duration.ofMillis(1600));
      assertEquals(
          DispatchRefusal.Code.NO_INSTANCE, refusal(host.receive("/read/x", Optional.empty())));
    }

    @Test
    @DisplayName("sends nothing to a server that does not hold the base model")
    void requiresBaseModel() {
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
    @DisplayName("requests the load of an adapter that no server holds, and sends once it is ready")
    void loadsAdapter() {
      DispatchEffect.RequestLoad loadRequest =
          only(host.receive("/chat/x", work(UNLOADED_ADAPTER)), DispatchEffect.RequestLoad.class);
      DispatchEffect.WakeAfter wake =
          only(
              host.apply(
                  new DispatchEvent.LoadOrdered(
                      loadRequest.instance(), UNLOADED_ADAPTER, Duration.ofMillis(250))),
              DispatchEffect.WakeAfter.class);
      host.advance(Duration.ofMillis(250));
      DispatchEffect.Send send =
          only(
              host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
              DispatchEffect.Send.class);
      assertEquals(loadRequest.instance(), send.instance().identifier());
    }

    @Test
    @DisplayName("tries another server when a load is refused")
    void triesOtherServer() {
      DispatchEffect.RequestLoad loadRequest =
          only(host.receive("/chat/x", work(UNLOADED_ADAPTER)), DispatchEffect.RequestLoad.class);
      DispatchEffect.RequestLoad second =
          only(
              host.apply(
                  new DispatchEvent.LoadRefused(
                      loadRequest.instance(), UNLOADED_ADAPTER, "no_slot")),
              DispatchEffect.RequestLoad.class);
      assertNotEquals(loadRequest.instance(), second.instance());
    }

    @Test
    @DisplayName(
        "abandons a silent server only if another one can accept the request without a load")
    void abandonsSilentServer() {
      host.apply(new DispatchEvent.InstanceRemoved("e2"));
      host.advance(Duration.ofSeconds(2));
      host.announce(DispatchFixture.instance("e3", "engine", false, 1, Map.of()));
      List<DispatchEffect> sent = host.receive("/chat/x", work(DispatchFixture.ADAPTER));
      DispatchEffect.WakeAfter check = only(sent, DispatchEffect.WakeAfter.class);
      host.advance(check.delay());
      List<DispatchEffect> whileSilent =
          host.apply(new DispatchEvent.Wake(check.requestKey(), check.wakeNumber()));
      DispatchEffect.WakeAfter nextWake = only(whileSilent, DispatchEffect.WakeAfter.class);
      assertEquals(1, whileSilent.size());
      host.announce(DispatchFixture.engine("e4"));
      host.advance(nextWake.delay());
      List<DispatchEffect> redispatched =
          host.apply(new DispatchEvent.Wake(nextWake.requestKey(), nextWake.wakeNumber()));
      only(redispatched, DispatchEffect.WithdrawAttempt.class);
      DispatchEffect.Send send = only(sent, DispatchEffect.Send.class);
      assertEquals(
          "e4",
          only(host.end(send, AttemptOutcome.WITHDRAWN, false), DispatchEffect.Send.class)
              .instance()
              .identifier());
    }

    @Test
    @DisplayName("loads an adapter only at a server that has an owner")
    void loadsWhereOwned() {
      for (String owned : List.of("e1", "e2")) {
        host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(owned), Duration.ZERO));
        DispatchEffect.RequestLoad loadRequest =
            only(host.receive("/chat/x", work(UNLOADED_ADAPTER)), DispatchEffect.RequestLoad.class);
        assertEquals(owned, loadRequest.instance());
      }
    }

    @Test
    @DisplayName("waits until a server has an owner, and requests the load there")
    void waitsForOwner() {
      host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(), Duration.ZERO));
      DispatchEffect.WakeAfter wake =
          only(host.receive("/chat/x", work(UNLOADED_ADAPTER)), DispatchEffect.WakeAfter.class);
      host.advance(wake.delay().dividedBy(2));
      DispatchEffect.RequestLoad loadRequest =
          only(
              host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of("e2"), Duration.ZERO)),
              DispatchEffect.RequestLoad.class);
      assertEquals("e2", loadRequest.instance());
      assertEquals(
          List.of(), host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())));
    }

    @Test
    @DisplayName("waits for an owner that is expected well before the deadline")
    void waitsForExpectedOwner() {
      host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(), Duration.ofMillis(2_500)));
      DispatchEffect.WakeAfter wake =
          only(host.receive("/chat/x", work(UNLOADED_ADAPTER)), DispatchEffect.WakeAfter.class);
      assertEquals(Duration.ofMillis(2_500), wake.delay());
      host.advance(Duration.ofMillis(2_600));
      only(
          host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of("e1"), Duration.ZERO)),
          DispatchEffect.RequestLoad.class);
    }

    @Test
    @DisplayName("gives a request that waited for an owner the whole time for its load")
    void countsLoadTimeFromTakeover() {
      host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(), Duration.ofMillis(2_500)));
      host.receive("/chat/x", work(UNLOADED_ADAPTER));
      host.advance(Duration.ofMillis(2_600));
      List<DispatchEffect> effects =
          host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of("e1", "e2"), Duration.ZERO));
      for (int refused = 0; refused < 3; refused++) {
        DispatchEffect.RequestLoad loadRequest = only(effects, DispatchEffect.RequestLoad.class);
        effects =
            host.apply(
                new DispatchEvent.LoadRefused(loadRequest.instance(), UNLOADED_ADAPTER, "no_slot"));
      }
      DispatchEffect.WakeAfter wake = only(effects, DispatchEffect.WakeAfter.class);
      host.advance(wake.delay());
      only(
          host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
          DispatchEffect.RequestLoad.class);
    }

    @Test
    @DisplayName("refuses a request that could not be answered after a load")
    void refusesHopelessLoad() {
      List<DispatchEffect> effects =
          host.receive("/chat/x", work(UNLOADED_ADAPTER), Duration.ofMillis(300), key -> {});
      assertEquals(DispatchRefusal.Code.ADAPTER_UNAVAILABLE, refusal(effects));
    }

    @Test
    @DisplayName("does not wait until the deadline for an owner that is overdue")
    void refusesIfOwnerIsOverdue() {
      host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(), Duration.ZERO));
      host.advance(Duration.ofSeconds(2));
      List<DispatchEffect> effects = host.receive("/chat/x", work(UNLOADED_ADAPTER));
      Duration waited = Duration.ZERO;
      while (effects.stream().anyMatch(DispatchEffect.WakeAfter.class::isInstance)) {
        DispatchEffect.WakeAfter wake = only(effects, DispatchEffect.WakeAfter.class);
        waited = waited.plus(wake.delay());
        host.advance(wake.delay());
        effects = host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()));
      }
      assertEquals(DispatchRefusal.Code.ADAPTER_UNAVAILABLE, refusal(effects));
      assertTrue(waited.compareTo(Duration.ofMillis(500)) <= 0);
    }

    @Test
    @DisplayName("refuses immediately with a Retry-After if no server gets an owner in time")
    void refusesWithoutOwnerInTime() {
      Duration takeoverDelay = Duration.ofSeconds(4);
      host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(), takeoverDelay));
      DispatchRefusal refusal =
          only(host.receive("/chat/x", work(UNLOADED_ADAPTER)), DispatchEffect.Refuse.class)
              .refusal();
      assertEquals(DispatchRefusal.Code.ADAPTER_UNAVAILABLE, refusal.code());
      assertTrue(refusal.retryAfter().orElseThrow().compareTo(takeoverDelay) >= 0);
      assertTrue(refusal.retryAfter().orElseThrow().compareTo(takeoverDelay.multipliedBy(2)) < 0);
    }

    @Test
    @DisplayName("serves loaded adapters while no server has an owner")
    void servesLoadedAdapters() {
      host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(), Duration.ofSeconds(4)));
      host.send("/chat/x", work(DispatchFixture.ADAPTER));
    }

    @Test
    @DisplayName("sends the declared version of an adapter, and uses no server with an older one")
    void followsDeclaredVersion() {
      AdapterKey adapter = DispatchFixture.ADAPTER;
      assertEquals(0, host.send("/chat/x", work(adapter)).adapterVersion());
      host.apply(new DispatchEvent.VersionDeclared(adapter, 3));
      only(host.receive("/chat/x", work(adapter)), DispatchEffect.RequestLoad.class);
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
    @DisplayName("waits for an adapter that is late without a second load request")
    void waitsForLateAdapter() {
      DispatchEffect.RequestLoad loadRequest =
          only(host.receive("/chat/x", work(UNLOADED_ADAPTER)), DispatchEffect.RequestLoad.class);
      DispatchEffect.WakeAfter wake =
          only(
              host.apply(
                  new DispatchEvent.LoadOrdered(
                      loadRequest.instance(), UNLOADED_ADAPTER, Duration.ofMillis(250))),
              DispatchEffect.WakeAfter.class);
      host.advance(Duration.ofMillis(250));
      DispatchEffect.Send early =
          only(
              host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
              DispatchEffect.Send.class);
      List<DispatchEffect> effects = host.end(early, AttemptOutcome.MISDIRECTED, false);
      assertTrue(effects.stream().noneMatch(DispatchEffect.RequestLoad.class::isInstance));
      DispatchEffect.WakeAfter nextWake = only(effects, DispatchEffect.WakeAfter.class);
      host.advance(nextWake.delay());
      only(
          host.apply(new DispatchEvent.Wake(nextWake.requestKey(), nextWake.wakeNumber())),
          DispatchEffect.Send.class);
    }

    @Test
    @DisplayName("leaves a server that answers twice that it lacks the adapter")
    void leavesServerThatLacksAdapter() {
      List<DispatchEffect> effects = host.receive("/chat/x", work(UNLOADED_ADAPTER));
      String first = only(effects, DispatchEffect.RequestLoad.class).instance();
      effects =
          host.apply(
              new DispatchEvent.LoadOrdered(first, UNLOADED_ADAPTER, Duration.ofMillis(250)));
      for (int misdirected = 0; misdirected < 2; misdirected++) {
        DispatchEffect.WakeAfter wake = only(effects, DispatchEffect.WakeAfter.class);
        host.advance(wake.delay());
        DispatchEffect.Send send =
            only(
                host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
                DispatchEffect.Send.class);
        assertEquals(first, send.instance().identifier());
        effects = host.end(send, AttemptOutcome.MISDIRECTED, false);
      }
      assertNotEquals(first, only(effects, DispatchEffect.RequestLoad.class).instance());
    }

    @Test
    @DisplayName("waits for a free adapter slot before it requests the load again")
    void waitsForSlot() {
      List<DispatchEffect> effects = host.receive("/chat/x", work(UNLOADED_ADAPTER));
      for (int refused = 0; refused < 3; refused++) {
        DispatchEffect.RequestLoad loadRequest = only(effects, DispatchEffect.RequestLoad.class);
        effects =
            host.apply(
                new DispatchEvent.LoadRefused(loadRequest.instance(), UNLOADED_ADAPTER, "no_slot"));
      }
      DispatchEffect.WakeAfter wake = only(effects, DispatchEffect.WakeAfter.class);
      host.advance(wake.delay());
      only(
          host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
          DispatchEffect.RequestLoad.class);
    }

    @Test
    @DisplayName("prefers a report of the owner to an announcement that lags")
    void prefersOwnerReport() {
      host.apply(
          new DispatchEvent.AdaptersReported(
              new AdapterReport("e1", 1, 40, Set.of("base"), Map.of(UNLOADED_ADAPTER, 1L))));
      host.announce(DispatchFixture.instance("e1", "engine", false, 2, Map.of(ADAPTER, 1L)));
      DispatchEffect.Send send = host.send("/chat/x", work(UNLOADED_ADAPTER));
      assertEquals("e1", send.instance().identifier());
    }
  }
}
