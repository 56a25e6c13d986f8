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
import org.parsleyhead.integration.fleet.HttpCalls;
import org.parsleyhead.integration.fleet.SampleTickets;

/**
 * Sends chat requests from several threads until it is closed, each thread one after the other.
 *
 * <p>Thread-safe. Adapters, lengths and hosts follow from the seed and the thread.
 */
final class ChatDriver implements AutoCloseable {

  private static final int STATUS_OK = 200;
  private static final long END_TIMEOUT_SECONDS = 120;
  private static final long REFUSAL_PAUSE_MILLISECONDS = 20;
  private static final int PROMPTS = 1_000_000;

  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicInteger whole = new AtomicInteger();
  private final Map<String, Integer> refusals = Collections.synchronizedMap(new TreeMap<>());
  private final List<String> unanswered = Collections.synchronizedList(new ArrayList<>());
  private final List<String> problems = Collections.synchronizedList(new ArrayList<>());
  private final ExecutorService threads;
  private final HttpCalls calls = new HttpCalls();
  private final Load load;
  private volatile List<EntryHost> hosts;

  /**
   * What is sent.
   *
   * @param threads how many requests are in flight
   * @param adapters how many adapters are asked for, with two versions each
   * @param shortest the least length of an answer in tokens
   * @param longest the greatest length of an answer in tokens
   * @param seed the seed of all that is random
   */
  record Load(int threads, int adapters, int shortest, int longest, long seed) {}

  private ChatDriver(List<EntryHost> hosts, Load load) {
    this.hosts = List.copyOf(hosts);
    this.load = load;
    this.threads = Executors.newFixedThreadPool(load.threads());
  }

  /** Starts to send to hosts. */
  static ChatDriver start(List<EntryHost> hosts, Load load) {
    ChatDriver driver = new ChatDriver(hosts, load);
    for (int thread = 0; thread < load.threads(); thread++) {
      Random random = new Random(load.seed() + thread);
      driver.threads.execute(() -> driver.run(random));
    }
    return driver;
  }

  /** Sends all further requests to other hosts. */
  void moveTo(List<EntryHost> others) {
    hosts = List.copyOf(others);
  }

  /** Returns how many answers were whole and right. */
  int whole() {
    return whole.get();
  }

  /** Returns how many requests were refused, by status. */
  Map<String, Integer> refusals() {
    return new TreeMap<>(refusals);
  }

  /** Returns the requests that got no answer or one that broke off, with the cause. */
  List<String> unanswered() {
    return List.copyOf(unanswered);
  }

  /** Returns what was wrong with answers that had begun. */
  List<String> problems() {
    return List.copyOf(problems);
  }

  @Override
  public void close() {
    ended.set(true);
    threads.shutdown();
    try {
      if (!threads.awaitTermination(END_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new FleetException("requests did not end in time");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }

  private void run(Random random) {
    while (!ended.get()) {
      Chat chat =
          new Chat(
              "adapter-" + (1 + random.nextInt(load.adapters())) + "@" + (1 + random.nextInt(2)),
              "question " + random.nextInt(PROMPTS),
              load.shortest() + random.nextInt(load.longest() - load.shortest() + 1));
      List<EntryHost> targets = hosts;
      send(targets.get(random.nextInt(targets.size())), chat);
    }
  }

  private void send(EntryHost host, Chat chat) {
    try {
      HttpResponse<String> answer =
          calls.call("POST", host.callers(), Chat.PATH, SampleTickets.CORDIALS_KEY, chat.body());
      if (answer.statusCode() == STATUS_OK) {
        chat.problem(answer.body())
            .ifPresentOrElse(
                problem -> problems.add(host.name() + " " + chat + ": " + problem),
                whole::incrementAndGet);
      } else {
        refused(answer.statusCode() + " " + codeOf(answer.body()));
      }
    } catch (FleetException exception) {
      unanswered.add(host.name() + " " + chat + ": " + exception.getCause());
      refused("none");
    }
  }

  private void refused(String kind) {
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
