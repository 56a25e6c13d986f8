package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.Instance;

/**
 * A replay of several hosts that send plain requests to servers of different speeds, with a manual
 * clock. Each server runs 6 requests, lets 24 wait and refuses others. A request takes 20 to 40 ms
 * times the pace of its server. Confined to one thread; the same seed gives the same replay.
 */
final class FakePlainPool {

  static final int SLOTS = 6;

  private static final int WAITING = 24;
  private static final Duration TARGET = Duration.ofMillis(120);
  private static final Duration TICK = Duration.ofMillis(500);

  /** Returns the true pace of a server at an instant. */
  @FunctionalInterface
  interface Paces {

    double of(int server, MonotonicTime time);
  }

  /** Returns what a server reports; empty if it reports nothing. */
  @FunctionalInterface
  interface Reports {

    Optional<ReportedLoad> of(int server, int running, int waiting, double pace);
  }

  /** The outcome of a replay. Requests refused by a server are not repeated. */
  record Outcome(int requests, int onTime, int refused, Map<String, Integer> sends) {

    double onTimeFraction() {
      return (double) onTime / requests;
    }
  }

  private record Event(MonotonicTime time, long number, Runnable action) {}

  private record Job(DispatchFixture host, DispatchEffect.Send send, MonotonicTime receivedAt) {}

  private final class Server {

    private final int index;
    private final Deque<Job> queue = new ArrayDeque<>();
    private int running;

    Server(int index) {
      this.index = index;
    }

    void receive(Job job) {
      if (running < SLOTS) {
        start(job);
      } else if (queue.size() < WAITING) {
        queue.add(job);
      } else {
        refused++;
        respond(job, AttemptOutcome.NO_ROOM);
      }
    }

    private void start(Job job) {
      running++;
      double work = (20 + 20 * random.nextDouble()) * paces.of(index, now);
      after(Duration.ofNanos((long) (work * 1e6)), () -> finish(job));
    }

    private void finish(Job job) {
      running--;
      if (!queue.isEmpty()) {
        start(queue.poll());
      }
      onTime += now.since(job.receivedAt()).compareTo(TARGET) <= 0 ? 1 : 0;
      respond(job, AttemptOutcome.COMPLETED);
    }

    private void respond(Job job, AttemptOutcome outcome) {
      Optional<ReportedLoad> load = reports.of(index, running, queue.size(), paces.of(index, now));
      after(
          Duration.ofMillis(1),
          () ->
              job.host()
                  .at(now)
                  .apply(
                      new DispatchEvent.AttemptEnded(
                          job.send().request().key(),
                          job.send().attempt(),
                          new AttemptResult(outcome, 200, false, true, Optional.empty(), ""),
                          load)));
    }
  }

  private final Random random;
  private final Paces paces;
  private final Reports reports;
  private final List<DispatchFixture> hosts = new ArrayList<>();
  private final Map<String, Server> servers = new HashMap<>();
  private final Map<String, Integer> sends = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::time).thenComparing(Event::number));
  private MonotonicTime now;
  private long lastEvent;
  private int requests;
  private int onTime;
  private int refused;

  FakePlainPool(long seed, int hostCount, int serverCount, Paces paces, Reports reports) {
    this.random = new Random(seed);
    this.paces = paces;
    this.reports = reports;
    Instance[] instances = new Instance[serverCount];
    for (int index = 0; index < serverCount; index++) {
      instances[index] = DispatchFixture.plainWithSlots("s" + index, SLOTS);
      servers.put("s" + index, new Server(index));
    }
    for (int index = 0; index < hostCount; index++) {
      hosts.add(DispatchFixture.ofPlainPool(TARGET, instances));
    }
    this.now = hosts.get(0).now();
  }

  /** Reports of servers that state the truth. */
  static Optional<ReportedLoad> truth(int server, int running, int waiting, double pace) {
    return Optional.of(load(running, waiting, OptionalDouble.of(pace)));
  }

  static ReportedLoad load(int running, int waiting, OptionalDouble pace) {
    return new ReportedLoad(running, waiting, SLOTS, pace, Duration.ZERO);
  }

  /** Sends requests at a mean rate for some time, and returns what became of them. */
  Outcome run(double requestsPerSecond, Duration duration) {
    MonotonicTime end = now.plus(duration);
    after(TICK, () -> exchangeLoads(end));
    after(Duration.ZERO, () -> arrive(requestsPerSecond, end));
    while (!events.isEmpty()) {
      Event event = events.poll();
      now = event.time();
      event.action().run();
    }
    return new Outcome(requests, onTime, refused, Map.copyOf(sends));
  }

  private void arrive(double rate, MonotonicTime end) {
    DispatchFixture host = hosts.get(random.nextInt(hosts.size()));
    requests++;
    for (DispatchEffect effect : host.at(now).receive("/book/", Optional.empty())) {
      if (effect instanceof DispatchEffect.Send send) {
        String server = send.instance().identifier();
        sends.merge(server, 1, Integer::sum);
        Job job = new Job(host, send, now);
        after(Duration.ofMillis(1), () -> servers.get(server).receive(job));
      }
    }
    Duration gap = Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / rate * 1e9));
    if (now.plus(gap).isBefore(end)) {
      after(gap, () -> arrive(rate, end));
    }
  }

  /** Tells each host the load of the others, as heartbeats do. */
  private void exchangeLoads(MonotonicTime end) {
    for (DispatchFixture host : hosts) {
      Map<String, InstanceLoad> others = new HashMap<>();
      hosts.stream()
          .filter(other -> other != host)
          .forEach(
              other ->
                  other
                      .state()
                      .sentLoads()
                      .forEach((name, load) -> others.merge(name, load, InstanceLoad::plus)));
      host.at(now).apply(new DispatchEvent.PeerReported("others", 1, true, Map.of(), others));
    }
    if (now.plus(TICK).isBefore(end)) {
      after(TICK, () -> exchangeLoads(end));
    }
  }

  private void after(Duration delay, Runnable action) {
    events.add(new Event(now.plus(delay), lastEvent++, action));
  }
}
