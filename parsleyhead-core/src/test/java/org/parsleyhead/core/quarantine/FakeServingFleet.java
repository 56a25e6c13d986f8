package org.parsleyhead.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * A simulated fleet of hosts before servers, some of whose requests end the server that begins to
 * answer them, on a fake clock; reproducible from a seed. Confined to one thread.
 *
 * <p>All requests have one trait in common and one of some hundred others; the deadly ones have a
 * trait of their own besides. Servers also end by themselves now and then, and a connection is lost
 * now and then without the end of its server.
 */
final class FakeServingFleet {

  private static final Trait COMMON = new Trait(Trait.Kind.PROMPT_PART, 1);
  private static final Trait DEADLY = new Trait(Trait.Kind.PROMPT_PART, 2);
  private static final int HUBS = 6;
  private static final int SUBJECTS = 100;
  private static final int ADAPTERS = 3_000;
  private static final Duration DOWN_TIME = Duration.ofMillis(3_500);
  private static final Duration TICK = Duration.ofSeconds(1);

  private final Random random;
  private final boolean guarded;
  private final double messageLoss;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final List<String> hostNames = new ArrayList<>();
  private long now = Duration.ofSeconds(1_000).toNanos();
  private long sequence;
  private long lastRun;
  private final List<Long> deadlyEnds = new ArrayList<>();
  private final List<Long> deadlySends = new ArrayList<>();
  private int soundRequests;
  private int soundAnswered;

  FakeServingFleet(long seed, int hostCount, int serverCount, double messageLoss, boolean guarded) {
    this.random = new Random(seed);
    this.guarded = guarded;
    this.messageLoss = messageLoss;
    for (int index = 0; index < hostCount; index++) {
      Host host = new Host("host-" + index);
      hosts.add(host);
      hostNames.add(host.name);
      schedule(TICK, () -> tick(host));
    }
    for (int index = 0; index < serverCount; index++) {
      servers.add(new Server());
    }
  }

  /** Plays requests at a rate for a while, some of them deadly, with servers that end at random. */
  void play(Duration duration, double ratePerSecond, double deadlyShare, double endsPerSecond) {
    long until = now + duration.toNanos();
    arrive(until, ratePerSecond, deadlyShare);
    endAtRandom(until, endsPerSecond);
    while (!queue.isEmpty() && queue.peek().at() <= until) {
      Scheduled next = queue.poll();
      now = next.at();
      next.action().run();
    }
    now = until;
  }

  /** Returns how many servers ended on deadly requests. */
  int serversLost() {
    return deadlyEnds.size();
  }

  /** Returns the deadly requests that were sent later than a delay after the fifth such end. */
  long deadlySendsAfterFifth(Duration delay) {
    if (deadlyEnds.size() < 5) {
      return 0;
    }
    long from = deadlyEnds.get(4) + delay.toNanos();
    return deadlySends.stream().filter(sentAt -> sentAt > from).count();
  }

  /** Returns the part of the sound requests that were answered at the first attempt. */
  double soundAnswered() {
    return (double) soundAnswered / soundRequests;
  }

  private void arrive(long until, double rate, double deadlyShare) {
    Duration gap = Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / rate * 1e9));
    if (now + gap.toNanos() > until) {
      return;
    }
    schedule(
        gap,
        () -> {
          receive(hosts.get(random.nextInt(hosts.size())), random.nextDouble() < deadlyShare);
          arrive(until, rate, deadlyShare);
        });
  }

  private void endAtRandom(long until, double rate) {
    Duration gap = Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / rate * 1e9));
    if (now + gap.toNanos() <= until) {
      schedule(
          gap,
          () -> {
            end(servers.get(random.nextInt(servers.size())));
            endAtRandom(until, rate);
          });
    }
  }

  private void receive(Host host, boolean deadly) {
    List<Trait> traits = new ArrayList<>();
    traits.add(COMMON);
    traits.add(new Trait(Trait.Kind.PROMPT_PART, 1_000 + random.nextInt(SUBJECTS)));
    traits.add(new Trait(Trait.Kind.ADAPTER, random.nextInt(ADAPTERS)));
    if (deadly) {
      traits.add(DEADLY);
    } else {
      soundRequests++;
    }
    send(new Request(host, traits, deadly), 0);
  }

  private void send(Request request, int attempt) {
    List<Server> up = servers.stream().filter(server -> server.up).toList();
    Verdict verdict =
        guarded
            ? request.host.quarantine.verdict(request.traits, request.host.right, hostNames, time())
            : Verdict.SEND;
    if (verdict.decision() == Verdict.Decision.REFUSE || up.isEmpty()) {
      return;
    }
    if (verdict.decision() == Verdict.Decision.SEND_AS_TRIAL) {
      request.host.quarantine = request.host.quarantine.withTrial(verdict, time());
    }
    if (request.deadly) {
      deadlySends.add(now);
    }
    Server server = up.get(random.nextInt(up.size()));
    request.attempt = attempt;
    request.server = server;
    request.serverRun = server.run;
    server.waiting.add(request);
    schedule(
        Duration.ofMillis(50 + random.nextInt(700)), () -> answer(request, attempt, server.run));
  }

  private void answer(Request request, int attempt, long run) {
    Server server = request.server;
    boolean current =
        request.attempt == attempt && server.run == run && server.waiting.contains(request);
    if (!current) {
      return;
    }
    if (request.deadly) {
      deadlyEnds.add(now);
      server.waiting.remove(request);
      end(server);
      request.host.lose(request, true);
      repeat(request);
      return;
    }
    server.waiting.remove(request);
    if (random.nextDouble() < 0.002) {
      request.host.lose(request, true);
      return;
    }
    soundAnswered += attempt == 0 ? 1 : 0;
    request.host.change(
        request.host.quarantine.answered(request.traits, request.serverRun, time()));
  }

  private void end(Server server) {
    if (!server.up) {
      return;
    }
    server.up = false;
    List<Request> lost = List.copyOf(server.waiting);
    server.waiting.clear();
    schedule(
        DOWN_TIME,
        () -> {
          server.up = true;
          server.run = ++lastRun;
        });
    for (Request request : lost) {
      request.host.lose(request, random.nextDouble() < 0.1);
      repeat(request);
    }
  }

  private void repeat(Request request) {
    if (request.attempt == 0) {
      send(request, 1);
    }
  }

  private void takeBack(Host host) {
    for (Server server : servers) {
      for (Request request : List.copyOf(server.waiting)) {
        if (request.host == host && restricted(request)) {
          server.waiting.remove(request);
        }
      }
    }
  }

  private boolean restricted(Request request) {
    return request.host.quarantine.restricted(time()).keySet().stream()
        .anyMatch(request.traits::contains);
  }

  private void tick(Host host) {
    host.change(host.quarantine.pruned(time()));
    host.tell(host.quarantine.ownReports(Duration.ofSeconds(4), time()), false);
    schedule(TICK, () -> tick(host));
  }

  private MonotonicTime time() {
    return MonotonicTime.ORIGIN.plus(Duration.ofNanos(now));
  }

  private void schedule(Duration delay, Runnable action) {
    queue.add(new Scheduled(now + delay.toNanos(), sequence++, action));
  }

  private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private static final class Request {
    private final Host host;
    private final List<Trait> traits;
    private final boolean deadly;
    private int attempt;
    private Server server;
    private long serverRun;

    Request(Host host, List<Trait> traits, boolean deadly) {
      this.host = host;
      this.traits = traits;
      this.deadly = deadly;
    }
  }

  private final class Server {
    private final List<Request> waiting = new ArrayList<>();
    private boolean up = true;
    private long run = ++lastRun;
  }

  private final class Host {
    private final String name;
    private final TrialRight right;
    private Quarantine quarantine = Quarantine.EMPTY;

    Host(String name) {
      this.name = name;
      this.right = TrialRight.inTurn(name);
    }

    void lose(Request request, boolean answerBegun) {
      change(quarantine.lost(request.traits, new Loss(request.serverRun, answerBegun, time())));
    }

    void change(Quarantine next) {
      final List<TraitReport> news = next.news(quarantine, time());
      Map<Trait, Standing> before = quarantine.restricted(time());
      quarantine = next;
      if (!before.equals(quarantine.restricted(time()))) {
        takeBack(this);
      }
      tell(news, false);
    }

    /** Tells all hosts; in a large fleet only the hubs, which tell it on. */
    void tell(List<TraitReport> reports, boolean relayed) {
      boolean hub = hosts.indexOf(this) < HUBS;
      if (!guarded || reports.isEmpty() || relayed && !hub) {
        return;
      }
      for (int index = 0; index < hosts.size(); index++) {
        Host host = hosts.get(index);
        boolean assigned = index % HUBS == hosts.indexOf(this);
        boolean receives = index < HUBS || hub && (!relayed || assigned);
        if (receives && host != this && random.nextDouble() >= messageLoss) {
          schedule(Duration.ofMillis(1 + random.nextInt(40)), () -> host.hear(this, reports));
        }
      }
    }

    void hear(Host from, List<TraitReport> reports) {
      Quarantine before = quarantine;
      quarantine = before.merged(reports, time());
      if (!before.restricted(time()).equals(quarantine.restricted(time()))) {
        takeBack(this);
      }
      tell(quarantine.news(before, time()), true);
      List<TraitReport> cleared = before.clearances(reports, time());
      if (!cleared.isEmpty()) {
        schedule(Duration.ofMillis(1 + random.nextInt(40)), () -> from.hear(this, cleared));
      }
    }
  }
}
