package org.parsleyhead.integration.faults;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.FleetHttpClient;
import org.parsleyhead.integration.fleet.SampleTickets;

/**
 * Sends chat requests from several threads until it is closed; each thread waits for a response
 * before its next request.
 *
 * <p>Thread-safe. The seed and the index of the thread determine adapters, lengths and hosts.
 */
final class ChatDriver implements AutoCloseable {

  private static final int STATUS_OK = 200;
  private static final long CLOSE_TIMEOUT_SECONDS = 120;
  private static final long REFUSAL_PAUSE_MILLISECONDS = 20;
  private static final int PROMPT_COUNT = 1_000_000;

  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicInteger completeCount = new AtomicInteger();
  private final Map<String, Integer> refusals = Collections.synchronizedMap(new TreeMap<>());
  private final List<String> unanswered = Collections.synchronizedList(new ArrayList<>());
  private final List<String> problems = Collections.synchronizedList(new ArrayList<>());
  private final ExecutorService threads;
  private final FleetHttpClient client = new FleetHttpClient();
  private final Load load;
  private volatile List<EntryHost> hosts;

  /**
   * The load to send.
   *
   * @param threads the number of requests in flight
   * @param adapters the number of adapters, with two versions each
   * @param minimumTokens the minimum length of an answer in tokens
   * @param maximumTokens the maximum length of an answer in tokens
   * @param seed the seed of the random choices
   */
  record Load(int threads, int adapters, int minimumTokens, int maximumTokens, long seed) {}

  private ChatDriver(List<EntryHost> hosts, Load load) {
    this.hosts = List.copyOf(hosts);
    this.load = load;
    this.threads = Executors.newFixedThreadPool(load.threads());
  }

  /** Starts sending to hosts. */
  static ChatDriver start(List<EntryHost> hosts, Load load) {
    ChatDriver driver = new ChatDriver(hosts, load);
    for (int thread = 0; thread < load.threads(); thread++) {
      Random random = new Random(load.seed() + thread);
      driver.threads.execute(() -> driver.sendUntilClosed(random));
    }
    return driver;
  }

  /** Sends all subsequent requests to other hosts. */
  void switchTo(List<EntryHost> newHosts) {
    hosts = List.copyOf(newHosts);
  }

  /** Returns the number of complete and correct answers. */
  int completeCount() {
    return completeCount.get();
  }

  /** Returns the number of refused or failed requests by status and code. */
  Map<String, Integer> refusals() {
    return new TreeMap<>(refusals);
  }

  /** Returns the requests without a complete HTTP response, with the cause. */
  List<String> unanswered() {
    return List.copyOf(unanswered);
  }

  /** Returns the defects of responses with status 200. */
  List<String> problems() {
    return List.copyOf(problems);
  }

  @Override
  public void close() {
    closed.set(true);
    threads.shutdown();
    try {
      if (!threads.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new FleetException("requests did not complete in time");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while waiting for requests", exception);
    }
  }

  private void sendUntilClosed(Random random) {
    while (!closed.get()) {
      ChatExchange chat =
          new ChatExchange(
              "adapter-" + (1 + random.nextInt(load.adapters())) + "@" + (1 + random.nextInt(2)),
              "question " + random.nextInt(PROMPT_COUNT),
              load.minimumTokens()
                  + random.nextInt(load.maximumTokens() - load.minimumTokens() + 1));
      List<EntryHost> targets = hosts;
      send(targets.get(random.nextInt(targets.size())), chat);
    }
  }

  private void send(EntryHost host, ChatExchange chat) {
    try {
      HttpResponse<String> response =
          client.call(
              "POST",
              host.callerEndpoint(),
              ChatExchange.PATH,
              SampleTickets.CORDIALS_KEY,
              chat.requestBody());
      if (response.statusCode() == STATUS_OK) {
        chat.findProblem(response.body())
            .ifPresentOrElse(
                problem -> problems.add(host.name() + " " + chat + ": " + problem),
                completeCount::incrementAndGet);
      } else {
        recordRefusal(response.statusCode() + " " + codeOf(response.body()));
      }
    } catch (FleetException exception) {
      unanswered.add(host.name() + " " + chat + ": " + exception.getCause());
      recordRefusal("none");
    }
  }

  private void recordRefusal(String kind) {
    refusals.merge(kind, 1, Integer::sum);
    try {
      Thread.sleep(REFUSAL_PAUSE_MILLISECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private static String codeOf(String body) {
    int start = body.indexOf("\"code\":\"") + 8;
    return start < 8 ? "" : body.substring(start, body.indexOf('"', start));
  }
}
