package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.quarantine.Trait;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.parsleyhead.core.serving.ServiceRoute;

@DisplayName("Streams before servers that fall silent, break off and reject requests")
class StreamGuaranteeTests {

  private static final int SEEDS = 40;
  private static final Duration DURATION = Duration.ofSeconds(20);
  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(300);
  private static final Duration CALL_INTERVAL = Duration.ofMillis(60);

  /** Two requests each have a part in common, which is restricted and then lifted. */
  private static final int SHARING = 2;

  private static final Duration FIRST_NEWS = Duration.ofMillis(800);
  private static final Duration NEWS_INTERVAL = Duration.ofMillis(350);
  private static final int NEWS = 4;
  private static final Duration LIFT = Duration.ofMillis(3_500);
  private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(2);

  /** Plays restrictions and faults of the host beside what the servers do. */
  private static FakeStreamServers playFaults(long seed) {
    Random random = new Random(seed);
    DispatchFixture host = fourServers();
    FakeStreamServers servers = new FakeStreamServers(host, seed, true);
    long call = 0;
    for (Duration at = Duration.ZERO; at.compareTo(DURATION) < 0; at = at.plus(CALL_INTERVAL)) {
      Trait trait = new Trait(Trait.Kind.PROMPT_PART, 100 + call / SHARING);
      Optional<ModelWork> work = DispatchFixture.sharedWork(trait.identity());
      switch (random.nextInt(4)) {
        case 0 -> servers.call(at, "/audit/x", 1, work);
        case 1 -> servers.call(at, "/chat/x", 2, work);
        default -> servers.call(at, "/talk/x", 3, work);
      }
      if (++call % SHARING == 0) {
        for (int news = 0; news < NEWS; news++) {
          servers.restrictAt(at.plus(FIRST_NEWS).plus(NEWS_INTERVAL.multipliedBy(news)), trait);
        }
        servers.at(at.plus(LIFT), new DispatchEvent.RestrictionLifted(trait));
      }
    }
    long number = 2;
    for (Duration at = ANNOUNCEMENT_INTERVAL;
        at.compareTo(DURATION) < 0;
        at = at.plus(ANNOUNCEMENT_INTERVAL)) {
      servers.at(at, new DispatchEvent.InstancesAnnounced(engines(number++)));
    }
    servers.run();
    return servers;
  }

  /** Returns the servers, which all have the adapter; those that said otherwise have it again. */
  private static List<Instance> engines(long number) {
    Map<AdapterKey, Long> held = Map.of(DispatchFixture.ADAPTER, 1L);
    return Stream.of("e1", "e2", "e3", "e4")
        .map(name -> DispatchFixture.instance(name, "engine", false, number, held))
        .toList();
  }

  private static DispatchFixture fourServers() {
    DispatchFixture host = DispatchFixture.running();
    host.announce(DispatchFixture.engine("e3"), DispatchFixture.engine("e4"));
    return host;
  }

  private static FakeStreamServers play(long seed, boolean changes) {
    Random random = new Random(seed);
    DispatchFixture host = fourServers();
    FakeStreamServers servers = new FakeStreamServers(host, seed, false);
    for (Duration at = Duration.ZERO; at.compareTo(DURATION) < 0; at = at.plus(CALL_INTERVAL)) {
      switch (random.nextInt(4)) {
        case 0 -> servers.call(at, "/talk/x", 3);
        case 1 -> servers.call(at, "/audit/x", 1);
        default -> servers.call(at, "/chat/x", 2);
      }
    }
    long version = 2;
    for (Duration at = CHANGE_INTERVAL;
        changes && at.compareTo(DURATION) < 0;
        at = at.plus(CHANGE_INTERVAL)) {
      servers.at(at, new DispatchEvent.CatalogueChanged(changed(version++, random)));
    }
    servers.run();
    return servers;
  }

  /** Changes accounts, limits, routes or services; the service of the streams stays. */
  private static ServiceCatalogue changed(long version, Random random) {
    List<ServiceRoute> routes = new ArrayList<>(DispatchFixture.routes());
    List<ServiceDefinition> services = new ArrayList<>(DispatchFixture.services());
    List<AccountLimits> accounts = new ArrayList<>(List.of(DispatchFixture.account(10_000)));
    switch (random.nextInt(6)) {
      case 0 -> accounts.clear();
      case 1 -> accounts.set(0, DispatchFixture.account(500));
      case 2 -> routes.remove(random.nextInt(routes.size()));
      case 3 -> services.remove(0);
      case 4 -> services.set(1, new ServiceDefinition("engine", 2, Optional.empty()));
      default -> {}
    }
    return new ServiceCatalogue(version, routes, services, RequestLimits.INITIAL, accounts);
  }

  private static void check(boolean changes) {
    int complete = 0;
    int kept = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      FakeStreamServers servers = play(seed, changes);
      assertEquals(List.of(), servers.violations(), "seed " + seed);
      complete += servers.outcome().complete();
      kept += servers.outcome().keptAttempts();
    }
    assertTrue(complete > 0, "no stream was complete");
    assertTrue(kept > 0, "no first event crossed a check for silence");
  }

  @Test
  @DisplayName("end early only if they may not run again")
  void endEarlyOnlyIfTheyMayNotRunAgain() {
    check(false);
  }

  @Test
  @DisplayName("end early only if they may not run again while the catalogue changes")
  void endEarlyOnlyIfTheyMayNotRunAgainBesideChanges() {
    check(true);
  }

  @Test
  @DisplayName("end early only if they may not run again beside restrictions and failed events")
  void endEarlyOnlyIfTheyMayNotRunAgainBesideFaults() {
    int complete = 0;
    int waits = 0;
    int failed = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      FakeStreamServers servers = playFaults(seed);
      assertEquals(List.of(), servers.violations(), "seed " + seed);
      complete += servers.outcome().complete();
      waits += servers.outcome().quarantineWaits();
      failed += servers.outcome().failedEvents();
    }
    assertTrue(complete > 0, "no stream was complete");
    assertTrue(waits > 0, "no stream waited for the end of a restriction");
    assertTrue(failed > 0, "no event failed");
  }
}
