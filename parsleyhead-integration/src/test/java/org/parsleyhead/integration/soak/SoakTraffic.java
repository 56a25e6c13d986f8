package org.parsleyhead.integration.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.parsleyhead.platform.standin.CallerStandin;

/**
 * Callers that go on all the while, on connections that they keep until the host closes them.
 *
 * <p>Thread-safe.
 */
final class SoakTraffic {

  private static final int CALLERS = 12;
  private static final int ADAPTERS = 40;
  private static final int PAUSE_MILLISECONDS = 60;

  private final SoakFleet fleet;
  private final AsyncHttpClient client =
      Dsl.asyncHttpClient(
          Dsl.config()
              .setMaxRequestRetry(0)
              .setConnectTimeout(Duration.ofSeconds(1))
              .setPooledConnectionIdleTimeout(Duration.ofSeconds(10))
              .build());
  private final CallerStandin callers = new CallerStandin(client);
  private final ExecutorService executor = Executors.newFixedThreadPool(CALLERS);
  private final AtomicBoolean open = new AtomicBoolean(true);
  private final AtomicLong requests = new AtomicLong();
  private final List<CallerStandin.Outcome> outcomes = new ArrayList<>();

  SoakTraffic(SoakFleet fleet, long seed) {
    this.fleet = fleet;
    for (int caller = 0; caller < CALLERS; caller++) {
      Random random = new Random(seed * CALLERS + caller);
      executor.execute(() -> goOn(random));
    }
  }

  /** Returns what all callers got so far. */
  List<CallerStandin.Outcome> outcomes() {
    synchronized (outcomes) {
      return List.copyOf(outcomes);
    }
  }

  /** Ends all callers once their last answers have come. */
  void stop() throws InterruptedException, IOException {
    open.set(false);
    executor.shutdown();
    executor.awaitTermination(20, TimeUnit.SECONDS);
    client.close();
  }

  private void goOn(Random random) {
    while (open.get()) {
      SoakFleet.Host host = fleet.hosts().get(random.nextInt(fleet.hosts().size()));
      CallerStandin.Kind kind =
          CallerStandin.Kind.values()[random.nextInt(CallerStandin.Kind.values().length)];
      String key = random.nextInt(4) == 0 ? "key-" + (1 + random.nextInt(6)) : "key-0";
      String adapter = "a" + (int) (ADAPTERS * Math.pow(random.nextDouble(), 3));
      String request = "r" + requests.incrementAndGet();
      CallerStandin.Outcome outcome =
          callers.call(host.callers(), kind, request, key, adapter).join();
      synchronized (outcomes) {
        outcomes.add(outcome);
      }
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_MILLISECONDS));
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
