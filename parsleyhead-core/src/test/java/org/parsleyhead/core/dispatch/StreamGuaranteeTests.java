package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
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

  private static FakeStreamServers play(long seed, boolean changes) {
    Random random = new Random(seed);
    DispatchFixture host = DispatchFixture.running();
    host.announce(DispatchFixture.engine("e3"), DispatchFixture.engine("e4"));
    FakeStreamServers servers = new FakeStreamServers(host, seed);
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
}
