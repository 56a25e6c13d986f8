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
 * Callers that send requests continuously until they are stopped, on connections that they keep
 * open until the host closes them.
 *
 * <p>Thread-safe.
 */
final class SoakTraffic {

  private static final int CALLERS = 12;
  private static final int ADAPTERS = 40;
  private static final int MAXIMUM_PAUSE_MILLISECONDS = 60;

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
  private final AtomicBoolean running = new AtomicBoolean(true);
  private final AtomicLong requestCount = new AtomicLong();
  private final List<CallerStandin.Outcome> outcomes = new ArrayList<>();

  SoakTraffic(SoakFleet fleet, long seed) {
    this.fleet = fleet;
    for (int caller = 0; caller < CALLERS; caller++) {
      Random random = new Random(seed * CALLERS + caller);
      executor.execute(() -> sendUntilStopped(random));
    }
  }

  /** Returns the outcomes of all requests so far. */
  List<CallerStandin.Outcome> outcomes() {
    synchronized (outcomes) {
      return List.copyOf(outcomes);
    }
  }

  /** Stops all callers after their last responses. */
  void stop() throws InterruptedException, IOException {
    running.set(false);
    executor.shutdown();
    executor.awaitTermination(20, TimeUnit.SECONDS);
    client.close();
  }

  private void sendUntilStopped(Random random) {
    while (running.get()) {
      SoakFleet.Host host = fleet.hosts().get(random.nextInt(fleet.hosts().size()));
      CallerStandin.Kind kind =
          CallerStandin.Kind.values()[random.nextInt(CallerStandin.Kind.values().length)];
      String key = random.nextInt(4) == 0 ? "key-" + (1 + random.nextInt(6)) : "key-0";
      String adapter = "a" + (int) (ADAPTERS * Math.pow(random.nextDouble(), 3));
      String request = "r" + requestCount.incrementAndGet();
      CallerStandin.Outcome outcome =
          callers.call(host.callerEndpoint(), kind, request, key, adapter).join();
      synchronized (outcomes) {
        outcomes.add(outcome);
      }
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAXIMUM_PAUSE_MILLISECONDS));
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
