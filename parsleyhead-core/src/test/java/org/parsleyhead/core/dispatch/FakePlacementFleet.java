package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.overload.SpreadRetryAfter;
import org.parsleyhead.core.overload.WaitPolicy;
import org.parsleyhead.core.placement.PlacementSettings;
import org.parsleyhead.core.quarantine.TrialRight;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.RequestKind;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.parsleyhead.core.serving.ServiceRoute;
import org.parsleyhead.core.serving.WeightedService;

/**
 * Several hosts that dispatch to model servers on a fake clock; reproducible from a seed. Confined
 * to one thread.
 *
 * <p>Servers prefill one prompt at a time. Their owner is reduced to adapter slots, which it frees
 * by least recent use after 700 ms without use. Hosts learn the adapters of servers and the load of
 * the other hosts every 500 ms.
 */
final class FakePlacementFleet {

  private static final int HOSTS = 12;
  private static final int SERVERS = 24;
  private static final int ADAPTER_SLOTS = 5;
  private static final int ADAPTERS = 10_000;
  private static final long MILLISECOND = 1_000_000;
  private static final long SHIFT_INTERVAL = 8_000 * MILLISECOND;
  private static final long REPORT_INTERVAL = 500 * MILLISECOND;
  private static final long COLD_LOAD = 288 * MILLISECOND;
  private static final long TOLD_LOAD = 270 * MILLISECOND;
  private static final long TOLD_WARM_LOAD = 45 * MILLISECOND;
  private static final long MINIMUM_IDLE = 700 * MILLISECOND;
  private static final long SLOT_WAIT = 120 * MILLISECOND;
  private static final int UNDELAYED_LOADS = 16;
  private static final double PREFILL_RATE = 38;
  private static final int CACHE_TOKENS = 173_266;

  private final Random random;
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final List<Host> hosts = new ArrayList<>();
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final double[] popularity = new double[ADAPTERS];
  private final Tally tally = new Tally();
  private long now = Duration.ofSeconds(100).toNanos();
  private final long start = now;
  private final int requestsPerSecond;
  private long sequence;
  private long lastKey;
  private int loading;

  FakePlacementFleet(long seed, int requestsPerSecond) {
    this.random = new Random(seed);
    this.requestsPerSecond = requestsPerSecond;
    double sum = 0;
    for (int rank = 0; rank < ADAPTERS; rank++) {
      sum += Math.pow(rank + 1, -1.2);
      popularity[rank] = sum;
    }
    List<Instance> instances = new ArrayList<>();
    for (int index = 0; index < SERVERS; index++) {
      Instance instance = DispatchFixture.instance("e-" + index, "engine", false, 1, Map.of());
      instances.add(instance);
      servers.put(instance.identifier(), new Server(instance.identifier()));
    }
    for (int index = 0; index < HOSTS; index++) {
      hosts.add(new Host(instances));
    }
  }

  /** What happened during a run. */
  static final class Tally {

    final Set<AdapterKey> adapters = new HashSet<>();
    int requests;
    int arrivals;
    int missing;
    int beforeLoaded;
    int fetches;
    int copies;
    int warmLoads;
    int loadRequests;
    int noSlot;
    int onTime;
    int late;
    int refused;

    @Override
    public String toString() {
      return String.format(
          "requests=%d arrivals=%d missing=%d (%d before loaded) fetches=%d (%d copies) adapters=%d"
              + " warmLoads=%d loadRequests=%d"
              + " noSlot=%d onTime=%d late=%d refused=%d",
          requests,
          arrivals,
          missing,
          beforeLoaded,
          fetches,
          copies,
          adapters.size(),
          warmLoads,
          loadRequests,
          noSlot,
          onTime,
          late,
          refused);
    }
  }

  Tally tally() {
    return tally;
  }

  /** Returns the arrivals at the busiest server as a multiple of the mean. */
  double busiestServer() {
    int busiest = servers.values().stream().mapToInt(server -> server.arrivals).max().orElseThrow();
    return (double) busiest * SERVERS / tally.arrivals;
  }

  void run(Duration duration) {
    long end = start + duration.toNanos();
    schedule(0, () -> request(end));
    schedule(0, () -> report(end));
    while (!queue.isEmpty()) {
      Scheduled next = queue.poll();
      now = next.at;
      next.action.run();
    }
  }

  private MonotonicTime time() {
    return new MonotonicTime(now);
  }

  private void schedule(long delay, Runnable action) {
    queue.add(new Scheduled(now + delay, sequence++, action));
  }

  private void request(long end) {
    if (now >= end) {
      return;
    }
    hosts.get(random.nextInt(HOSTS)).receive();
    double gap = -Math.log(1 - random.nextDouble()) * 1_000_000_000 / requestsPerSecond;
    schedule((long) gap, () -> request(end));
  }

  private AdapterKey adapter() {
    double drawn = random.nextDouble() * popularity[ADAPTERS - 1];
    int rank = 0;
    while (popularity[rank] < drawn) {
      rank++;
    }
    long shift = (now - start) / SHIFT_INTERVAL;
    return new AdapterKey("base", "a" + (rank + 997 * shift) % ADAPTERS);
  }

  private void report(long end) {
    List<Map<String, InstanceLoad>> loads = new ArrayList<>();
    List<Map<String, Map<AdapterKey, Integer>>> uses = new ArrayList<>();
    for (Host host : hosts) {
      loads.add(host.state.sentLoads());
      uses.add(host.state.adapterUse());
    }
    for (Server server : servers.values()) {
      server.inUse.clear();
      for (Map<String, Map<AdapterKey, Integer>> use : uses) {
        server.inUse.addAll(use.getOrDefault(server.name, Map.of()).keySet());
      }
      server.inUse.forEach(server::touch);
      AdapterReport report = server.report();
      hosts.forEach(host -> host.apply(new DispatchEvent.AdaptersReported(report)));
    }
    for (int index = 0; index < HOSTS; index++) {
      Map<String, InstanceLoad> others = new HashMap<>();
      for (int other = 0; other < HOSTS; other++) {
        if (other != index) {
          loads.get(other).forEach((name, load) -> others.merge(name, load, InstanceLoad::plus));
        }
      }
      hosts.get(index).apply(new DispatchEvent.PeerReported("hub", 1, true, Map.of(), others));
    }
    if (now < end) {
      schedule(REPORT_INTERVAL, () -> report(end));
    }
  }

  private static ServiceCatalogue catalogue() {
    return new ServiceCatalogue(
        1,
        List.of(route("urgent", "/urgent/", 1_000), route("short", "/short/", 2_000)),
        List.of(
            new ServiceDefinition(
                "engine",
                10,
                Optional.of(new EngineProfile(48, CACHE_TOKENS, ADAPTER_SLOTS, 1_000, List.of())))),
        RequestLimits.INITIAL,
        List.of(DispatchFixture.account(1e9)));
  }

  private static ServiceRoute route(String name, String prefix, long targetMilliseconds) {
    return new ServiceRoute(
        name,
        DispatchFixture.HOST,
        prefix,
        RequestKind.STREAM,
        Duration.ofSeconds(5),
        Duration.ofMillis(targetMilliseconds),
        Duration.ofMillis(250),
        1,
        List.of(new WeightedService("engine", 1)),
        1,
        false);
  }

  private record Scheduled(long at, long sequence, Runnable action)
      implements Comparable<Scheduled> {

    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** An adapter slot as the owner and the server know it. */
  private static final class Slot {

    private final long orderedAt;
    private final long ownerReadyAt;
    private boolean loaded;
    private long usedAt;

    Slot(long orderedAt, long ownerReadyAt) {
      this.orderedAt = orderedAt;
      this.ownerReadyAt = ownerReadyAt;
      this.usedAt = orderedAt;
    }
  }

  /** A model server and its owner. */
  private final class Server {

    private final String name;
    private final Map<AdapterKey, Slot> slots = new HashMap<>();
    private final Set<AdapterKey> former = new HashSet<>();
    private final Set<AdapterKey> inUse = new HashSet<>();
    private final LinkedHashMap<AdapterKey, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long busyUntil;
    private long orders;
    private int arrivals;

    Server(String name) {
      this.name = name;
    }

    void touch(AdapterKey adapter) {
      if (slots.containsKey(adapter)) {
        slots.get(adapter).usedAt = now;
      }
    }

    AdapterReport report() {
      Map<AdapterKey, Long> ready = new HashMap<>();
      slots.forEach(
          (adapter, slot) -> {
            if (now >= slot.ownerReadyAt) {
              ready.put(adapter, 1L);
            }
          });
      return new AdapterReport(name, 1, orders, Set.of("base"), ready, freeSlots());
    }

    private int freeSlots() {
      return ADAPTER_SLOTS - slots.size() + (int) evictableSlots().count();
    }

    private Stream<Map.Entry<AdapterKey, Slot>> evictableSlots() {
      return slots.entrySet().stream()
          .filter(slot -> now >= slot.getValue().ownerReadyAt)
          .filter(slot -> now - slot.getValue().usedAt > MINIMUM_IDLE)
          .filter(slot -> !inUse.contains(slot.getKey()));
    }

    private Optional<AdapterKey> evictable() {
      return evictableSlots()
          .min(Comparator.comparingLong(slot -> slot.getValue().usedAt))
          .map(Map.Entry::getKey);
    }

    void load(Host host, AdapterKey adapter, long requestedAt) {
      if (!slots.containsKey(adapter) && slots.size() >= ADAPTER_SLOTS) {
        Optional<AdapterKey> evicted = evictable();
        if (evicted.isEmpty()) {
          if (now - requestedAt > SLOT_WAIT) {
            tally.noSlot++;
            host.answer(new DispatchEvent.LoadRefused(name, adapter, "no_slot"));
          } else {
            schedule(50 * MILLISECOND, () -> load(host, adapter, requestedAt));
          }
          return;
        }
        slots.remove(evicted.get());
        former.add(evicted.get());
        orders++;
      }
      Slot slot = slots.computeIfAbsent(adapter, this::order);
      slot.usedAt = now;
      long left = slot.ownerReadyAt - now;
      host.answer(
          new DispatchEvent.LoadOrdered(
              name,
              adapter,
              Duration.ofNanos(left < 0 ? 60 * MILLISECOND : left),
              Duration.ofNanos(now - slot.orderedAt)));
    }

    private Slot order(AdapterKey adapter) {
      orders++;
      boolean warm = former.remove(adapter);
      final Slot slot = new Slot(now, now + (warm ? TOLD_WARM_LOAD : TOLD_LOAD));
      loading += warm ? 0 : 1;
      tally.fetches += warm ? 0 : 1;
      tally.warmLoads += warm ? 1 : 0;
      boolean held =
          servers.values().stream().anyMatch(server -> server.slots.containsKey(adapter));
      tally.copies += held && !warm ? 1 : 0;
      double crowding = Math.max(1, (double) loading / UNDELAYED_LOADS);
      schedule(
          warm ? COLD_LOAD / 10 : (long) (COLD_LOAD * crowding),
          () -> {
            slot.loaded = true;
            loading -= warm ? 0 : 1;
          });
      return slot;
    }

    void receive(Host host, DispatchEffect.Send send) {
      arrivals++;
      tally.arrivals++;
      ModelWork work = send.request().work().orElseThrow();
      Slot slot = slots.get(work.adapter());
      if (slot == null || !slot.loaded) {
        tally.missing++;
        tally.beforeLoaded += slot == null ? 0 : 1;
        schedule(2 * MILLISECOND, () -> host.end(send, AttemptOutcome.MISDIRECTED));
        return;
      }
      int shared = work.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
      int tokens = work.promptTokens() - (cache.get(work.adapter()) == null ? 0 : shared);
      cache.put(work.adapter(), shared);
      while (cache.values().stream().mapToInt(value -> value).sum() > CACHE_TOKENS / 2) {
        cache.remove(cache.keySet().iterator().next());
      }
      busyUntil = Math.max(busyUntil, now) + (long) (tokens / PREFILL_RATE * MILLISECOND);
      schedule(busyUntil - now, () -> host.responseStarted(send));
      schedule(busyUntil - now + 500 * MILLISECOND, () -> host.end(send, AttemptOutcome.COMPLETED));
    }
  }

  /** A host with its transition and state. */
  private final class Host {

    private final DispatchTransition transition =
        new DispatchTransition(
            new DispatchSettings(
                DispatchFixture.NEAR,
                PREFILL_RATE,
                Duration.ofMillis(250),
                Duration.ofMillis(25),
                Duration.ofMillis(1500),
                0.2,
                182,
                Duration.ofSeconds(10),
                0.1,
                0,
                new SpreadRetryAfter(),
                WaitPolicy.upToFraction(0.7),
                TrialRight.inTurn("self"),
                new PlacementSettings("self", false, Map.of())));
    private final Map<Long, Long> receivedAt = new HashMap<>();
    private DispatchState state = DispatchState.initial(time());

    Host(List<Instance> instances) {
      apply(new DispatchEvent.CatalogueChanged(catalogue()));
      apply(new DispatchEvent.InstancesAnnounced(instances));
      List<String> names = new ArrayList<>();
      for (int host = 0; host < HOSTS; host++) {
        names.add("host-" + host);
      }
      apply(new DispatchEvent.LiveHostsChanged(names, HOSTS));
      state = state.withBudget("engine", RetryBudget.fresh(time().minus(Duration.ofSeconds(10))));
      apply(new DispatchEvent.InstanceOwnersChanged(servers.keySet(), Duration.ZERO));
    }

    void receive() {
      tally.requests++;
      boolean longPrompt = random.nextInt(100) < 47;
      AdapterKey adapter = adapter();
      tally.adapters.add(adapter);
      int shared = longPrompt ? 6_300 : 198;
      int tokens = longPrompt ? 9_190 : 826;
      ModelWork work =
          new ModelWork(
              adapter,
              tokens,
              longPrompt ? 9 : 49,
              List.of(
                  new PromptPart(shared, shared),
                  new PromptPart(random.nextLong(), tokens - shared)));
      long key = ++lastKey;
      receivedAt.put(key, now);
      apply(
          new DispatchEvent.Received(
              new ServingRequest(
                  key,
                  "request-" + key,
                  DispatchFixture.HOST,
                  longPrompt ? "/urgent/x" : "/short/x",
                  Optional.of(DispatchFixture.KEY),
                  Optional.of(Duration.ofSeconds(longPrompt ? 5 : 15)),
                  Optional.of(work))));
    }

    void answer(DispatchEvent event) {
      schedule(10 * MILLISECOND, () -> apply(event));
    }

    void responseStarted(DispatchEffect.Send send) {
      long elapsed = now - receivedAt.get(send.request().key());
      boolean longPrompt = send.request().path().startsWith("/urgent/");
      if (elapsed <= (longPrompt ? 1_000 : 2_000) * MILLISECOND) {
        tally.onTime++;
      } else {
        tally.late++;
      }
      apply(new DispatchEvent.ResponseStarted(send.request().key(), send.attempt()));
    }

    void end(DispatchEffect.Send send, AttemptOutcome outcome) {
      boolean completed = outcome == AttemptOutcome.COMPLETED;
      apply(
          new DispatchEvent.AttemptEnded(
              send.request().key(),
              send.attempt(),
              new AttemptResult(
                  outcome, completed ? 200 : 421, completed, false, Optional.empty(), "test")));
    }

    void apply(DispatchEvent event) {
      Step<DispatchState, DispatchEffect> step = transition.apply(state, event, time());
      state = step.state();
      step.effects().forEach(this::execute);
    }

    private void execute(DispatchEffect effect) {
      if (effect instanceof DispatchEffect.Send send) {
        Server server = servers.get(send.instance().identifier());
        schedule(2 * MILLISECOND, () -> server.receive(this, send));
      } else if (effect instanceof DispatchEffect.RequestLoad request) {
        tally.loadRequests++;
        schedule(
            10 * MILLISECOND,
            () -> servers.get(request.instance()).load(this, request.adapter(), now));
      } else if (effect instanceof DispatchEffect.WakeAfter wake) {
        schedule(
            Math.max(0, wake.delay().toNanos()),
            () -> apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())));
      } else if (effect instanceof DispatchEffect.Refuse) {
        tally.refused++;
      }
    }
  }
}
