package org.parsleyhead.integration.faults;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.SampleTickets;

/**
 * Sends non-idempotent calls, some of them a second time through another entry host.
 *
 * <p>Confined to one thread, which {@link #send} blocks. The seed alone determines the host and the
 * delay of each call.
 */
final class CallDriver {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);
  private static final int REPEAT_PERCENTAGE = 40;
  private static final int MAXIMUM_REPEAT_DELAY_MILLISECONDS = 800;
  private static final int THREADS = 64;
  private static final long RUN_TIMEOUT_MINUTES = 10;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final List<EntryHost> hosts;
  private final Random random;
  private final CallOutcomes outcomes = new CallOutcomes();

  CallDriver(List<EntryHost> hosts, long seed) {
    this.hosts = List.copyOf(hosts);
    this.random = new Random(seed);
  }

  /** Sends a number of distinct calls and returns their outcomes at the callers. */
  CallOutcomes send(int count) {
    ExecutorService senders = Executors.newFixedThreadPool(THREADS);
    CountDownLatch remaining = new CountDownLatch(count);
    for (int number = 0; number < count; number++) {
      Plan plan = plan(number);
      senders.execute(
          () -> {
            execute(plan);
            remaining.countDown();
          });
    }
    try {
      if (!remaining.await(RUN_TIMEOUT_MINUTES, TimeUnit.MINUTES)) {
        throw new FleetException(remaining.getCount() + " calls did not complete in time");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while waiting for calls", exception);
    } finally {
      senders.shutdownNow();
    }
    return outcomes;
  }

  private Plan plan(int number) {
    int firstHost = random.nextInt(hosts.size());
    boolean repeated = random.nextInt(100) < REPEAT_PERCENTAGE;
    int repeatHost = (firstHost + 1 + random.nextInt(hosts.size() - 1)) % hosts.size();
    int delay = random.nextInt(MAXIMUM_REPEAT_DELAY_MILLISECONDS);
    return new Plan(
        "booking-" + number, hosts.get(firstHost), hosts.get(repeatHost), repeated, delay);
  }

  private void execute(Plan plan) {
    Thread repetition = new Thread(() -> sendRepeat(plan), "repetition");
    if (plan.repeated()) {
      repetition.start();
    }
    sendCall(plan.firstHost(), plan.key());
    try {
      repetition.join();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendRepeat(Plan plan) {
    try {
      Thread.sleep(plan.delayMilliseconds());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return;
    }
    sendCall(plan.repeatHost(), plan.key());
  }

  private void sendCall(EntryHost host, String key) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host.callerEndpoint() + "/dispatch/" + key))
            .timeout(CALL_TIMEOUT)
            .header("Authorization", "Bearer " + SampleTickets.SITEPOWER_KEY)
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{\"booking\":\"" + key + "\"}"))
            .build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      outcomes.add(
          new CallOutcomes.Outcome(
              key,
              response.headers().firstValue("x-request-id").orElse(""),
              response.statusCode(),
              resultOf(response)));
    } catch (IOException exception) {
      outcomes.add(new CallOutcomes.Outcome(key, "", 0, "none"));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private static String resultOf(HttpResponse<String> response) {
    if (response.body().contains("\"outcome\":\"not_run\"")) {
      return "not_run";
    }
    return response.body().contains("\"outcome\":\"unknown\"") ? "unknown" : "answered";
  }

  /** The hosts of a call and of its repetition, and the delay of the repetition. */
  private record Plan(
      String key,
      EntryHost firstHost,
      EntryHost repeatHost,
      boolean repeated,
      int delayMilliseconds) {}
}
