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
import java.util.function.Supplier;
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

  /** Callers of streams, and as many of plain requests, whose deadlines are those of the sites. */
  private static final int CALLERS_WITH_DEADLINES = 6;

  private static final int MINIMUM_PLAIN_DEADLINE_MILLISECONDS = 1_000;
  private static final int MAXIMUM_PLAIN_DEADLINE_MILLISECONDS = 1_500;
  private static final int MINIMUM_STREAM_DEADLINE_MILLISECONDS = 5_000;
  private static final int MAXIMUM_STREAM_DEADLINE_MILLISECONDS = 15_000;
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
  private final ExecutorService executor =
      Executors.newFixedThreadPool(CALLERS + 2 * CALLERS_WITH_DEADLINES);
  private final AtomicBoolean running = new AtomicBoolean(true);
  private final AtomicLong requestCount = new AtomicLong();
  private final List<CallerStandin.Outcome> outcomes = new ArrayList<>();

  SoakTraffic(SoakFleet fleet, long seed) {
    this.fleet = fleet;
    for (int caller = 0; caller < CALLERS; caller++) {
      Random random = new Random(seed * CALLERS + caller);
      executor.execute(() -> repeatUntilStopped(random, () -> sendAny(random)));
    }
    for (int caller = 0; caller < CALLERS_WITH_DEADLINES; caller++) {
      Random streams = new Random(-1 - (seed * CALLERS + 2 * caller));
      executor.execute(() -> repeatUntilStopped(streams, () -> sendStream(streams)));
      Random plain = new Random(-1 - (seed * CALLERS + 2 * caller + 1));
      executor.execute(() -> repeatUntilStopped(plain, () -> sendPlain(plain)));
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
    executor.awaitTermination(30, TimeUnit.SECONDS);
    client.close();
  }

  private void repeatUntilStopped(Random random, Supplier<CallerStandin.Outcome> request) {
    while (running.get()) {
      CallerStandin.Outcome outcome = request.get();
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

  private CallerStandin.Outcome sendAny(Random random) {
    SoakFleet.Host host = randomHost(random);
    CallerStandin.Kind kind =
        CallerStandin.Kind.values()[random.nextInt(CallerStandin.Kind.values().length)];
    String key = random.nextInt(4) == 0 ? "key-" + (1 + random.nextInt(6)) : "key-0";
    String adapter = randomAdapter(random);
    return callers.call(host.callerEndpoint(), kind, nextRequest(), key, adapter).join();
  }

  private CallerStandin.Outcome sendStream(Random random) {
    Duration deadline =
        randomDuration(
            random, MINIMUM_STREAM_DEADLINE_MILLISECONDS, MAXIMUM_STREAM_DEADLINE_MILLISECONDS);
    return sendWithDeadline(random, CallerStandin.Kind.CHAT, deadline);
  }

  private CallerStandin.Outcome sendPlain(Random random) {
    Duration deadline =
        randomDuration(
            random, MINIMUM_PLAIN_DEADLINE_MILLISECONDS, MAXIMUM_PLAIN_DEADLINE_MILLISECONDS);
    CallerStandin.Kind kind =
        random.nextBoolean() ? CallerStandin.Kind.READ : CallerStandin.Kind.BOOK;
    return sendWithDeadline(random, kind, deadline);
  }

  private CallerStandin.Outcome sendWithDeadline(
      Random random, CallerStandin.Kind kind, Duration deadline) {
    return callers
        .call(
            randomHost(random).callerEndpoint(),
            kind,
            nextRequest(),
            "key-0",
            randomAdapter(random),
            deadline)
        .join();
  }

  private SoakFleet.Host randomHost(Random random) {
    return fleet.hosts().get(random.nextInt(fleet.hosts().size()));
  }

  private static String randomAdapter(Random random) {
    return "a" + (int) (ADAPTERS * Math.pow(random.nextDouble(), 3));
  }

  private static Duration randomDuration(Random random, int minimum, int maximum) {
    return Duration.ofMillis(minimum + random.nextInt(maximum - minimum));
  }

  private String nextRequest() {
    return "r" + requestCount.incrementAndGet();
  }
}
