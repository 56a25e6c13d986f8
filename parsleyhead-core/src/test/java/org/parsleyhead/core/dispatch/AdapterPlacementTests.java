package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;
import static org.parsleyhead.core.dispatch.DispatchFixture.engine;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;

@DisplayName("Placement of adapters")
class AdapterPlacementTests {

  private static final AdapterKey ABSENT = new AdapterKey("base", "absent");
  private static final int PROMPT_TOKENS = 9_190;
  private static final int SHARED_TOKENS = 6_300;

  /** Queue whose prefill lasts longer than the latency target of 500 ms. */
  private static final InstanceLoad BUSY = new InstanceLoad(4, 30_000, 0);

  private static DispatchFixture hostWith(Instance... servers) {
    DispatchFixture host = DispatchFixture.running();
    host.announce(servers);
    Set<String> owned = new HashSet<>();
    host.state().instances().all().forEach(view -> owned.add(view.identifier()));
    host.apply(new DispatchEvent.InstanceOwnersChanged(owned, Duration.ZERO));
    return host;
  }

  private static Optional<ModelWork> prompt(int sharedTokens, long own) {
    return Optional.of(
        new ModelWork(
            ADAPTER,
            PROMPT_TOKENS,
            9,
            List.of(
                new PromptPart(1, sharedTokens),
                new PromptPart(own, PROMPT_TOKENS - sharedTokens))));
  }

  private static void reportLoad(DispatchFixture host, Map<String, InstanceLoad> loads) {
    host.apply(new DispatchEvent.PeerReported("hub", 1, true, Map.of(), loads));
  }

  private static void reportSlots(DispatchFixture host, String server, int freeSlots) {
    host.apply(
        new DispatchEvent.AdaptersReported(
            new AdapterReport(server, 1, 9, Set.of("base"), Map.of(ADAPTER, 1L), freeSlots)));
  }

  @Test
  @DisplayName("hosts with equal views do not all select the same server for a popular adapter")
  void spreadsRequests() {
    Map<String, Integer> arrivals = new HashMap<>();
    InstanceLoad one = new InstanceLoad(1, 0, 0);
    for (int index = 0; index < 400; index++) {
      DispatchFixture host = hostWith(engine("e3"), engine("e4"));
      reportLoad(host, Map.of("e1", one, "e3", one, "e4", one));
      String server = host.send("/chat/x", prompt(198, index)).instance().identifier();
      arrivals.merge(server, 1, Integer::sum);
    }
    assertEquals(4, arrivals.size(), arrivals.toString());
    // The cheapest of four servers is one of the two candidates of half of the requests.
    assertTrue(arrivals.get("e2") < 0.6 * 400, arrivals.toString());
  }

  @Test
  @DisplayName("requests that share most of their prompt use two servers while these are fast")
  void concentratesSharedPrompts() {
    Set<String> used = new HashSet<>();
    for (int index = 0; index < 40; index++) {
      DispatchFixture host = hostWith(engine("e3"), engine("e4"), engine("e5"));
      used.add(host.send("/chat/x", prompt(SHARED_TOKENS, index)).instance().identifier());
    }
    assertTrue(used.size() <= 2, used.toString());
  }

  @Test
  @DisplayName("no copy is loaded while a holder meets the latency target, even if it is faster")
  void loadsNoCopyWithinTarget() {
    DispatchFixture host = hostWith(engine("idle"));
    host.apply(
        new DispatchEvent.AdaptersReported(
            new AdapterReport("idle", 1, 9, Set.of("base"), Map.of(), 3)));
    host.send("/chat/x", work(ADAPTER));
    InstanceLoad queue = new InstanceLoad(1, 5_000, 0);
    reportLoad(host, Map.of("e1", queue, "e2", queue));
    only(host.receive("/chat/x", work(ADAPTER)), DispatchEffect.Send.class);
  }

  @Test
  @DisplayName("an adapter in demand is copied when no holder meets the latency target")
  void loadsCopyBeyondTarget() {
    DispatchFixture host = hostWith(DispatchFixture.instance("idle", "engine", false, 1, Map.of()));
    host.send("/chat/x", work(ADAPTER));
    reportLoad(host, Map.of("e1", BUSY, "e2", BUSY));
    DispatchEffect.RequestLoad load =
        only(host.receive("/chat/y", work(ADAPTER)), DispatchEffect.RequestLoad.class);
    assertEquals("idle", load.instance());
  }

  @Test
  @DisplayName("an adapter in high demand is copied before reports show the load of other hosts")
  void loadsCopyBeforeReports() {
    DispatchFixture host = hostWith(DispatchFixture.instance("idle", "engine", false, 1, Map.of()));
    host.apply(new DispatchEvent.LiveHostsChanged(List.of(), 70));
    Optional<ModelWork> prompt =
        Optional.of(new ModelWork(ADAPTER, 1_000, 9, List.of(new PromptPart(1, 1_000))));
    host.send("/chat/x", prompt);
    host.send("/chat/x", prompt);
    host.send("/chat/x", prompt);
    only(host.receive("/chat/x", prompt), DispatchEffect.RequestLoad.class);
  }

  @Test
  @DisplayName("an adapter without recent demand gets no second copy")
  void copiesNoRareAdapter() {
    DispatchFixture host = hostWith(DispatchFixture.instance("idle", "engine", false, 1, Map.of()));
    reportLoad(host, Map.of("e1", BUSY, "e2", BUSY));
    only(host.receive("/chat/x", work(ADAPTER)), DispatchEffect.Send.class);
  }

  @Test
  @DisplayName("a load is requested at a server without a slot only if no other server has one")
  void requestsLoadWhereSlotIsFree() {
    DispatchFixture host = DispatchFixture.running();
    String preferred =
        only(host.receive("/chat/x", work(ABSENT)), DispatchEffect.RequestLoad.class).instance();
    DispatchFixture other = DispatchFixture.running();
    reportSlots(other, preferred, 0);
    assertNotEquals(
        preferred,
        only(other.receive("/chat/x", work(ABSENT)), DispatchEffect.RequestLoad.class).instance());
    DispatchFixture full = DispatchFixture.running();
    reportSlots(full, "e1", 0);
    reportSlots(full, "e2", 0);
    assertEquals(
        preferred,
        only(full.receive("/chat/x", work(ABSENT)), DispatchEffect.RequestLoad.class).instance());
  }
}
