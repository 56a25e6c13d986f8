package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceRoute;

/** Guards against requests that a stopping host takes and cuts at the end of its process. */
@DisplayName("A host that is stopping")
class StopAdmissionTests {

  private static final Duration STOP_TIME = Duration.ofSeconds(7);
  private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration LONGER_ROUTE_TIMEOUT = Duration.ofSeconds(6);
  private static final int SEEDS = 40;

  private final DispatchFixture host = DispatchFixture.running();

  private static DispatchRefusal.Code refusal(List<DispatchEffect> effects) {
    return only(effects, DispatchEffect.Refuse.class).refusal().code();
  }

  private static ServiceCatalogue withTimeout(long version, Duration timeout) {
    List<ServiceRoute> routes =
        DispatchFixture.routes().stream()
            .map(
                route ->
                    new ServiceRoute(
                        route.name(),
                        route.host(),
                        route.prefix(),
                        route.kind(),
                        timeout,
                        route.latencyTarget(),
                        route.eventGapTarget(),
                        route.priority(),
                        route.services(),
                        route.attempts(),
                        route.open()))
            .toList();
    return new ServiceCatalogue(
        version,
        routes,
        DispatchFixture.services(),
        RequestLimits.INITIAL,
        List.of(DispatchFixture.account(10_000_000)));
  }

  private DispatchEvent.Stopping stopIn(Duration time) {
    return new DispatchEvent.Stopping(StopPlan.rejectEndingAfter(host.now().plus(time)));
  }

  private List<DispatchEffect> receive(String path, Optional<ModelWork> work, Duration timeout) {
    return host.receive(path, work, timeout, key -> {});
  }

  @Test
  @DisplayName("admits requests and streams that end in time whatever their servers do")
  void admitsWhatEndsInTime() {
    host.apply(stopIn(Duration.ofSeconds(3)));
    Duration fits = Duration.ofSeconds(3);
    only(receive("/read/x", Optional.empty(), fits), DispatchEffect.Send.class);
    only(receive("/chat/x", work(ADAPTER), fits), DispatchEffect.Send.class);
    host.advance(Duration.ofMillis(1));
    assertEquals(
        DispatchRefusal.Code.STOPPING, refusal(receive("/read/x", Optional.empty(), fits)));
    assertEquals(DispatchRefusal.Code.STOPPING, refusal(receive("/chat/x", work(ADAPTER), fits)));
  }

  @Test
  @DisplayName("judges a caller without a deadline by the timeout of its route")
  void judgesByRouteTimeout() {
    ServingRequest patient =
        new ServingRequest(
            9_000,
            "patient",
            DispatchFixture.HOST,
            "/read/x",
            Optional.of(DispatchFixture.KEY),
            Optional.empty(),
            Optional.empty());
    host.apply(stopIn(ROUTE_TIMEOUT));
    only(host.apply(new DispatchEvent.Received(patient)), DispatchEffect.Send.class);
    host.apply(
        new DispatchEvent.CatalogueChanged(
            withTimeout(2, ROUTE_TIMEOUT.plus(Duration.ofMillis(1)))));
    assertEquals(
        DispatchRefusal.Code.STOPPING, refusal(host.apply(new DispatchEvent.Received(patient))));
  }

  @Test
  @DisplayName("states that a refused request has not run and may be sent again soon")
  void refusesAsNotRun() {
    host.apply(new DispatchEvent.Stopping(StopPlan.REJECT_ALL));
    DispatchRefusal refusal =
        only(
                receive("/read/x", Optional.empty(), Duration.ofMillis(1)),
                DispatchEffect.Refuse.class)
            .refusal();
    assertEquals(DispatchRefusal.Code.STOPPING, refusal.code());
    assertEquals(503, refusal.code().status());
    assertTrue(refusal.retryAfter().orElseThrow().compareTo(Duration.ofMillis(100)) <= 0);
  }

  @Test
  @DisplayName("does not return to an earlier stage that reaches it late")
  void keepsLaterStage() {
    host.apply(new DispatchEvent.Stopping(StopPlan.REJECT_ALL));
    host.apply(stopIn(Duration.ofSeconds(60)));
    assertEquals(DispatchRefusal.Code.STOPPING, refusal(host.receive("/read/x", Optional.empty())));
  }

  @Test
  @DisplayName("refuses requests that wait for its catalogue, and makes no other one wait")
  void refusesWaiting() {
    DispatchFixture fresh = new DispatchFixture();
    only(fresh.receive("/read/x", Optional.empty()), DispatchEffect.WakeAfter.class);
    List<DispatchEffect> effects =
        fresh.apply(
            new DispatchEvent.Stopping(StopPlan.rejectEndingAfter(fresh.now().plus(STOP_TIME))));
    assertEquals(DispatchRefusal.Code.STOPPING, refusal(effects));
    assertEquals(
        DispatchRefusal.Code.STOPPING, refusal(fresh.receive("/read/x", Optional.empty())));
    assertEquals(0, fresh.state().activeRequests());
  }

  @Test
  @DisplayName("names the requests that have not ended, the oldest first")
  void namesActiveRequests() {
    final MonotonicTime received = host.now();
    DispatchEffect.Send send = host.send("/read/x", Optional.empty());
    host.advance(Duration.ofSeconds(1));
    host.send("/chat/x", work(ADAPTER));
    List<ActiveRequestSummary> summaries = host.state().activeSummaries();
    assertEquals(2, summaries.size());
    assertEquals(
        new ActiveRequestSummary(
            send.request().identifier(),
            Optional.of(send.instance().identifier()),
            1,
            received,
            Optional.of(received.plus(ROUTE_TIMEOUT))),
        summaries.get(0));
  }

  @Test
  @DisplayName("leaves no request unanswered that it took after the signal, under a steady load")
  void leavesNothingUnanswered() {
    int requests = 0;
    int streams = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      FakeSilentServers servers = play(seed, STOP_TIME);
      for (FakeSilentServers.Call call : afterSignal(servers)) {
        requests += call.ended() && !call.stream() && !call.refusedAsStopping() ? 1 : 0;
        streams += call.ended() && call.stream() && !call.refusedAsStopping() ? 1 : 0;
      }
      List<FakeSilentServers.Call> cut =
          afterSignal(servers).stream().filter(call -> !call.ended()).toList();
      assertEquals(List.of(), cut, "seed " + seed);
    }
    assertTrue(requests > 20 * SEEDS, requests + " requests were taken");
    assertTrue(streams > 20 * SEEDS, streams + " streams were taken");
  }

  @Test
  @DisplayName("refuses no request that ends in time under a steady load")
  void refusesNothingThatFits() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<FakeSilentServers.Call> refused =
          afterSignal(play(seed, STOP_TIME)).stream()
              .filter(FakeSilentServers.Call::refusedAsStopping)
              .filter(call -> !signal.plus(STOP_TIME).isBefore(call.endsBy(LONGER_ROUTE_TIMEOUT)))
              .toList();
      assertEquals(List.of(), refused, "seed " + seed);
    }
  }

  private MonotonicTime signal = MonotonicTime.ORIGIN;

  /** Plays a stop whose end is the last moment of the run; the route timeouts grow within it. */
  private FakeSilentServers play(long seed, Duration stopTime) {
    DispatchFixture loaded = DispatchFixture.running();
    loaded.apply(new DispatchEvent.CatalogueChanged(withTimeout(2, ROUTE_TIMEOUT)));
    MonotonicTime begin = loaded.now();
    signal = begin.plus(Duration.ofSeconds(2));
    MonotonicTime end = signal.plus(stopTime);
    FakeSilentServers servers = new FakeSilentServers(loaded, seed);
    servers.at(signal, new DispatchEvent.Stopping(StopPlan.rejectEndingAfter(end)));
    servers.at(
        signal.plus(Duration.ofMillis(500)),
        new DispatchEvent.CatalogueChanged(withTimeout(3, LONGER_ROUTE_TIMEOUT)));
    servers.load(begin, end, Duration.ofMillis(20));
    servers.runUntil(end);
    return servers;
  }

  private List<FakeSilentServers.Call> afterSignal(FakeSilentServers servers) {
    return servers.calls().stream().filter(call -> !call.receivedBefore(signal)).toList();
  }
}
