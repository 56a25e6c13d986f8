package org.parsleyhead.core.idempotency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.request.RepeatCheckResult;

/**
 * A fleet of hosts on a fake clock, with a network that loses, delays and duplicates messages. Not
 * thread-safe.
 */
final class FakeRepeatFleet {

  static final RepeatSettings SETTINGS =
      new RepeatSettings(Duration.ofSeconds(30), Duration.ofMillis(200), Duration.ofSeconds(2), 99);

  private final Random random;
  private final RepeatTransition transition = new RepeatTransition();
  private final Map<HostName, RepeatState> states = new TreeMap<>();
  private final Map<HostName, Long> versions = new HashMap<>();
  private final List<Delivery> network = new ArrayList<>();
  private final Map<RequestIdentifier, String> keys = new HashMap<>();
  private final Map<String, List<MonotonicTime>> runs = new HashMap<>();
  private final List<SortedSet<HostName>> lists = new ArrayList<>();
  private MonotonicTime now = MonotonicTime.ORIGIN;
  private Set<HostName> partitioned = Set.of();
  private double loss;
  private int sequence;
  private int firstResults;

  FakeRepeatFleet(long seed, int hosts) {
    random = new Random(seed);
    SortedSet<HostName> all = new TreeSet<>();
    for (int index = 0; index < hosts; index++) {
      all.add(new HostName("host-" + index));
    }
    lists.add(all);
    all.forEach(this::restart);
    advance(SETTINGS.uncertaintyDuration().plusSeconds(1));
  }

  List<HostName> hosts() {
    return List.copyOf(states.keySet());
  }

  int firstResults() {
    return firstResults;
  }

  void loseMessages(double probability) {
    loss = probability;
  }

  /** Drops all messages between the given hosts and the others. */
  void partition(Set<HostName> hosts) {
    partitioned = hosts;
  }

  /** Publishes a host list; a host receives it when {@link #deliverList} is called for it. */
  void publish(SortedSet<HostName> members) {
    lists.add(members);
    members.stream().filter(member -> !states.containsKey(member)).forEach(this::restart);
  }

  SortedSet<HostName> lastList() {
    return lists.get(lists.size() - 1);
  }

  void deliverList(HostName host) {
    versions.put(host, (long) lists.size());
    refreshSnapshots();
  }

  void restart(HostName host) {
    versions.put(host, (long) lists.size());
    states.put(host, RepeatState.initial(SETTINGS, rightsSnapshot(host), now));
    apply(host, new RepeatEvent.RightsChanged(rightsSnapshot(host)));
  }

  void check(HostName host, String repeatKey) {
    RequestIdentifier identifier = new RequestIdentifier("request-" + ++sequence);
    keys.put(identifier, repeatKey);
    apply(host, new RepeatEvent.Check(identifier, repeatKey));
  }

  /** Advances the clock in steps, delivering due messages and sending ticks to all hosts. */
  void advance(Duration duration) {
    MonotonicTime end = now.plus(duration);
    while (now.isBefore(end)) {
      now = now.plus(Duration.ofMillis(50));
      deliverDue();
      hosts().forEach(host -> apply(host, new RepeatEvent.Tick()));
    }
  }

  /** Returns the maximum number of runs with the same repeat key within any window. */
  int maximumRunsPerKey() {
    int maximum = 0;
    for (List<MonotonicTime> times : runs.values()) {
      for (MonotonicTime start : times) {
        MonotonicTime end = start.plus(SETTINGS.window());
        long within =
            times.stream().filter(time -> !time.isBefore(start) && time.isBefore(end)).count();
        maximum = Math.max(maximum, (int) within);
      }
    }
    return maximum;
  }

  private void refreshSnapshots() {
    hosts().forEach(host -> apply(host, new RepeatEvent.RightsChanged(rightsSnapshot(host))));
  }

  /**
   * Returns a rights snapshot in which every member has attested the version that it has received.
   */
  private RightsSnapshot rightsSnapshot(HostName host) {
    long version = versions.get(host);
    SortedSet<HostName> members = lists.get((int) version - 1);
    Map<HostName, Long> attested = new HashMap<>(versions);
    attested.remove(host);
    return new RightsSnapshot(
        host, new Incarnation(1), version, members, Map.of(), attested, Map.of());
  }

  private void apply(HostName host, RepeatEvent event) {
    Step<RepeatState, RepeatEffect> step = transition.apply(states.get(host), event, now);
    states.put(host, step.state());
    step.effects().forEach(effect -> carryOut(host, effect));
  }

  private void carryOut(HostName host, RepeatEffect effect) {
    if (effect instanceof RepeatEffect.Send send) {
      transmit(host, send.receiver(), send.message());
    } else if (effect instanceof RepeatEffect.Checked checked) {
      completeCheck(host, checked);
    }
  }

  private void completeCheck(HostName host, RepeatEffect.Checked checked) {
    if (checked.result() == RepeatCheckResult.FIRST) {
      firstResults++;
      runs.computeIfAbsent(keys.get(checked.identifier()), key -> new ArrayList<>()).add(now);
    } else {
      apply(host, new RepeatEvent.Release(checked.identifier()));
    }
  }

  private void transmit(HostName sender, HostName receiver, PeerMessage message) {
    boolean separated = partitioned.contains(sender) != partitioned.contains(receiver);
    if (separated || random.nextDouble() < loss) {
      return;
    }
    int copies = random.nextInt(10) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      Duration delay = Duration.ofMillis(random.nextInt(400));
      network.add(new Delivery(now.plus(delay), sender, receiver, message));
    }
  }

  private void deliverDue() {
    List<Delivery> due = network.stream().filter(item -> !now.isBefore(item.time())).toList();
    network.removeAll(due);
    for (Delivery delivery : due) {
      if (states.containsKey(delivery.receiver())) {
        apply(
            delivery.receiver(),
            new RepeatEvent.MessageReceived(delivery.sender(), delivery.message()));
      }
    }
  }

  private record Delivery(
      MonotonicTime time, HostName sender, HostName receiver, PeerMessage message) {}
}
