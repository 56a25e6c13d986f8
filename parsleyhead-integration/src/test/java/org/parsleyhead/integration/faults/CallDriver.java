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
 * Sends calls that may not be repeated, some of them again through another entry host.
 *
 * <p>Confined to one thread, which {@link #send} blocks. Which call goes where follows from the
 * seed alone.
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

  /** Sends a number of different calls and returns what callers were told. */
  CallOutcomes send(int count) {
    ExecutorService senders = Executors.newFixedThreadPool(THREADS);
    CountDownLatch left = new CountDownLatch(count);
    for (int number = 0; number < count; number++) {
      Plan plan = plan(number);
      senders.execute(
          () -> {
            carryOut(plan);
            left.countDown();
          });
    }
    try {
      if (!left.await(RUN_TIMEOUT_MINUTES, TimeUnit.MINUTES)) {
        throw new FleetException(left.getCount() + " calls were not done in time");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    } finally {
      senders.shutdownNow();
    }
    return outcomes;
  }

  private Plan plan(int number) {
    int first = random.nextInt(hosts.size());
    boolean repeated = random.nextInt(100) < REPEAT_PERCENTAGE;
    int other = (first + 1 + random.nextInt(hosts.size() - 1)) % hosts.size();
    int delay = random.nextInt(MAXIMUM_REPEAT_DELAY_MILLISECONDS);
    return new Plan("booking-" + number, hosts.get(first), hosts.get(other), repeated, delay);
  }

  private void carryOut(Plan plan) {
    Thread repetition = new Thread(() -> repeat(plan), "repetition");
    if (plan.repeated()) {
      repetition.start();
    }
    call(plan.first(), plan.key());
    try {
      repetition.join();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private void repeat(Plan plan) {
    try {
      Thread.sleep(plan.delayMilliseconds());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return;
    }
    call(plan.other(), plan.key());
  }

  private void call(EntryHost host, String key) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host.callers() + "/dispatch/" + key))
            .timeout(CALL_TIMEOUT)
            .header("Authorization", "Bearer " + SampleTickets.SITEPOWER_KEY)
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{\"booking\":\"" + key + "\"}"))
            .build();
    try {
      HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
      outcomes.add(
          new CallOutcomes.Told(
              key,
              answer.headers().firstValue("x-request-id").orElse(""),
              answer.statusCode(),
              outcomeOf(answer)));
    } catch (IOException exception) {
      outcomes.add(new CallOutcomes.Told(key, "", 0, "none"));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private static String outcomeOf(HttpResponse<String> answer) {
    if (answer.body().contains("\"outcome\":\"not_run\"")) {
      return "not_run";
    }
    return answer.body().contains("\"outcome\":\"unknown\"") ? "unknown" : "answered";
  }

  /** One call and its repetition, if it is repeated. */
  private record Plan(
      String key, EntryHost first, EntryHost other, boolean repeated, int delayMilliseconds) {}
}
