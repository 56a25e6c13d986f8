package org.parsleyhead.core.publication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/**
 * A simulated fleet of hosts that read one store and update each other, on a fake clock;
 * reproducible from a seed. Confined to one thread.
 *
 * <p>The first hosts that run are the readers, and all hosts hear their revisions with each
 * heartbeat, as in a real fleet.
 */
final class FakePublicationFleet {

  private static final int READERS = 6;
  private static final Duration TICK = Duration.ofMillis(200);
  private static final Duration STORE_DELAY = Duration.ofMillis(4);
  private static final Duration PEER_DELAY = Duration.ofMillis(2);

  private final FakeStore store = new FakeStore();
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Set<String> silentFor = new HashSet<>();
  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final PublicationSettings settings;
  private final PublicationTransition transition;
  private final Duration heartbeatInterval;
  private final Random random;
  private final double loss;
  private long now = Duration.ofSeconds(1_000).toNanos();
  private long sequence;

  FakePublicationFleet(long seed, int size, double loss, PublicationSettings settings) {
    this.random = new Random(seed);
    this.loss = loss;
    this.settings = settings;
    this.transition = new PublicationTransition(settings, FakeItemVersions::of);
    this.heartbeatInterval = Duration.ofMillis(size > READERS ? 500 : 300);
    for (int index = 0; index < size; index++) {
      start("host-" + index);
    }
  }

  FakeStore store() {
    return store;
  }

  List<String> hostNames() {
    return List.copyOf(hosts.keySet());
  }

  Duration now() {
    return Duration.ofNanos(now);
  }

  /** Starts a host, or starts it again without anything that it knew. */
  void start(String name) {
    Host host = new Host(name);
    Host former = hosts.put(name, host);
    if (former != null) {
      former.running = false;
    }
    schedule(Duration.ofNanos(random.nextInt((int) TICK.toNanos())), () -> tick(host));
    schedule(
        Duration.ofNanos(random.nextInt((int) heartbeatInterval.toNanos())), () -> heartbeat(host));
  }

  void kill(String name) {
    hosts.get(name).running = false;
  }

  /** Lets a host hear nothing from other hosts and the store; what is sent to it is lost. */
  void isolate(String name, boolean isolated) {
    hosts.get(name).isolated = isolated;
  }

  /** Returns what the duties of a host hold in force: the values by key. */
  Map<String, String> inForce(String name) {
    return Map.copyOf(hosts.get(name).inForce);
  }

  /** Returns the era that a host knows. */
  long era(String name) {
    return hosts.get(name).state.era();
  }

  /** Suspends a host; what arrives meanwhile is delivered when it resumes. */
  void freeze(String name, Duration duration) {
    hosts.get(name).frozenUntil = now + duration.toNanos();
  }

  /** Makes the store silent for some hosts, whose open connections to it are never answered. */
  void silenceStore(Set<String> names) {
    silentFor.clear();
    silentFor.addAll(names);
    store.forgetWatches(names::contains);
  }

  /** Returns whether the copy of each running host equals the store. */
  boolean allCurrent() {
    return laggards().isEmpty();
  }

  /** Returns the running hosts whose copy differs from the store, with the differing keys. */
  List<String> laggards() {
    List<String> laggards = new ArrayList<>();
    for (Host host : hosts.values()) {
      Map<String, PublishedItem> live = live(host.state);
      if (host.running && !live.equals(store.items())) {
        Set<String> keys = new TreeSet<>(live.keySet());
        keys.addAll(store.items().keySet());
        keys.removeIf(key -> Objects.equals(live.get(key), store.items().get(key)));
        laggards.add(host.name + " at " + host.state.revision() + " in " + keys);
      }
    }
    return laggards;
  }

  void run(Duration duration) {
    long until = now + duration.toNanos();
    while (!queue.isEmpty() && queue.peek().at() <= until) {
      Scheduled next = queue.poll();
      now = next.at();
      store.expireWatches(now);
      next.action().run();
    }
    now = until;
  }

  /** Runs until all copies are current, or until the limit; returns the time that it took. */
  Duration runUntilCurrent(Duration limit) {
    long started = now;
    while (!allCurrent() && now - started < limit.toNanos()) {
      run(Duration.ofMillis(10));
    }
    return Duration.ofNanos(now - started);
  }

  private static Map<String, PublishedItem> live(PublicationState state) {
    Map<String, PublishedItem> live = new LinkedHashMap<>();
    state
        .items()
        .forEach(
            (key, item) -> {
              if (item.value().isPresent()) {
                live.put(key, item);
              }
            });
    return live;
  }

  private List<String> readers() {
    return hosts.values().stream()
        .filter(host -> host.running)
        .map(host -> host.name)
        .limit(READERS)
        .toList();
  }

  private void tick(Host host) {
    if (host.running) {
      host.apply(new PublicationEvent.Tick());
      schedule(TICK, () -> tick(host));
    }
  }

  private void heartbeat(Host host) {
    if (!host.running) {
      return;
    }
    if (now >= host.frozenUntil) {
      List<String> readers = readers();
      boolean reader = readers.contains(host.name);
      host.apply(new PublicationEvent.ReaderRole(reader));
      for (Host other : hosts.values()) {
        if (other != host && (reader || readers.contains(other.name))) {
          send(
              other.name,
              new PublicationEvent.PeerRevision(
                  host.name, host.state.era(), host.state.revision()));
        }
      }
    }
    schedule(heartbeatInterval, () -> heartbeat(host));
  }

  private void send(String to, PublicationEvent event) {
    if (random.nextDouble() >= loss) {
      schedule(PEER_DELAY, () -> Optional.ofNullable(hosts.get(to)).ifPresent(h -> h.apply(event)));
    }
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

  private final class Host {

    private final String name;
    private PublicationState state;
    private final Map<String, String> inForce = new LinkedHashMap<>();
    private boolean running = true;
    private boolean isolated;
    private long frozenUntil;

    Host(String name) {
      this.name = name;
      this.state = PublicationState.initial(time());
    }

    private MonotonicTime time() {
      return MonotonicTime.ORIGIN.plus(Duration.ofNanos(now));
    }

    void apply(PublicationEvent event) {
      if (!running || isolated && !(event instanceof PublicationEvent.Tick)) {
        return;
      }
      if (now < frozenUntil) {
        schedule(Duration.ofNanos(frozenUntil - now), () -> apply(event));
        return;
      }
      Step<PublicationState, PublicationEffect> step = transition.apply(state, event, time());
      state = step.state();
      step.effects().forEach(this::execute);
    }

    private void execute(PublicationEffect effect) {
      if (effect instanceof PublicationEffect.ReadPage page) {
        toStore(() -> store.readPage(page.readNumber(), page.afterKey(), this::fromStore));
      } else if (effect instanceof PublicationEffect.Watch watch) {
        long expiresAt = now + watch.timeout().toNanos();
        toStore(
            () ->
                store.watch(
                    name,
                    watch.readNumber(),
                    watch.afterRevision(),
                    instant -> instant >= expiresAt,
                    this::fromStore));
      } else if (effect instanceof PublicationEffect.Changed changed) {
        for (PublishedItem item : changed.items()) {
          item.value()
              .ifPresentOrElse(
                  value -> inForce.put(item.key(), value), () -> inForce.remove(item.key()));
        }
      } else if (effect instanceof PublicationEffect.SendUpdate update) {
        send(
            update.host(),
            new PublicationEvent.UpdateReceived(
                name,
                update.era(),
                update.items(),
                update.afterRevision(),
                update.revision(),
                update.former()));
      } else if (effect instanceof PublicationEffect.RequestUpdate request) {
        send(
            request.host(),
            new PublicationEvent.UpdateRequested(name, request.era(), request.afterRevision()));
      }
    }

    private void toStore(Runnable read) {
      schedule(
          STORE_DELAY,
          () -> {
            if (!silentFor.contains(name)) {
              read.run();
            }
          });
    }

    private void fromStore(PublicationEvent event) {
      schedule(STORE_DELAY, () -> apply(event));
    }
  }
}
