package org.parsleyhead.integration.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.platform.standin.CallerStandin;
import org.parsleyhead.platform.standin.CallerStandin.Kind;
import org.parsleyhead.platform.standin.CallerStandin.Outcome;

@DisplayName("Gateway processes whose store is restored from a copy")
class StoreRollbackTests {

  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int ROUNDS = 10;

  /** Covers the start of the processes and several rounds of heartbeats. */
  private static final long STARTUP_MILLISECONDS = 6_000;

  /** The operators want a configuration in force within this time. */
  private static final long IN_FORCE_MILLISECONDS = 3_000;

  private static final long INTERVAL_MILLISECONDS = 200;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path directory;

  /** Returns how the requests of a key ended at all hosts. */
  private static List<Outcome> callAll(SoakFleet fleet, CallerStandin callers, String key) {
    List<Outcome> outcomes = new ArrayList<>();
    for (SoakFleet.Host host : fleet.hosts()) {
      String request = key + "-" + System.nanoTime();
      outcomes.add(callers.call(host.callerEndpoint(), Kind.READ, request, key, "a0").join());
    }
    return outcomes;
  }

  private static void assertStatus(int status, List<Outcome> outcomes) {
    outcomes.forEach(outcome -> assertEquals(status, outcome.status(), outcome::toString));
  }

  private static void sleep(long milliseconds) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(milliseconds);
  }

  // Guards against withdrawn keys that are valid again and servers that are unknown meanwhile.
  @Test
  @DisplayName("serve callers, keep keys withdrawn and take what is written afterwards")
  void keepServing() throws Exception {
    try (SoakFleet fleet = new SoakFleet(directory, 3, 0);
        AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0).build())) {
      final CallerStandin callers = new CallerStandin(client);
      fleet.hosts().forEach(SoakFleet.Host::awaitStarted);
      sleep(STARTUP_MILLISECONDS);
      fleet.issueKey("key-1", "account-1");
      sleep(IN_FORCE_MILLISECONDS);
      assertStatus(OK, callAll(fleet, callers, "key-1"));
      fleet.revokeKey("key-1");
      fleet.addServer(false);
      sleep(IN_FORCE_MILLISECONDS);
      // The copy is older than the withdrawal and the last server.
      fleet.rollBackStore((IN_FORCE_MILLISECONDS + 500) / 1_000.0);
      for (int round = 0; round < ROUNDS; round++) {
        assertStatus(OK, callAll(fleet, callers, "key-0"));
        assertStatus(UNAUTHORIZED, callAll(fleet, callers, "key-1"));
        sleep(INTERVAL_MILLISECONDS);
      }
      fleet.writeAgain();
      fleet.issueKey("key-2", "account-2");
      sleep(IN_FORCE_MILLISECONDS);
      assertStatus(OK, callAll(fleet, callers, "key-2"));
      assertStatus(UNAUTHORIZED, callAll(fleet, callers, "key-1"));
      for (SoakFleet.Host host : fleet.hosts()) {
        String output = host.output();
        assertTrue(output.contains("event=store_era_increased era=1"), output);
        assertTrue(output.contains("event=items_outdated"), output);
      }
    }
  }
}
