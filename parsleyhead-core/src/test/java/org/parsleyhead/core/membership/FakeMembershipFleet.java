package org.parsleyhead.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;

/**
 * A simulated fleet of membership transitions on a fake clock. The seed determines the schedule of
 * lost, delayed and duplicated messages, pauses, restarts, partitions and stale host lists. Not
 * thread-safe.
 */
final class FakeMembershipFleet {

  private static final double MAXIMUM_CLOCK_DRIFT = 0.008;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final Random random;
  private final ClaimRule claimRule;
  private final int size;
  private final PriorityQueue<Scheduled> schedule =
      new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparing(Scheduled::order));
  private final List<Process> processes = new ArrayList<>();
  private final Map<HostName, Process> current = new HashMap<>();
  private final Set<HostName> isolated = new HashSet<>();
  private final List<HostName> listed = new ArrayList<>();
  private long now;
  private long order;
  private long version;
  private int attestedChecks;
  private int claimChecks;

  FakeMembershipFleet(long seed, int size, ClaimRule claimRule) {
    this.random = new Random(seed);
    this.size = size;
    this.claimRule = claimRule;
    for (int index = 0; index < size; index++) {
      listed.add(name(index));
    }
    for (int index = 0; index < size; index++) {
      start(name(index));
    }
    publish();
  }

  static HostName name(int index) {
    return new HostName("host-" + index);
  }

  static HostList listOf(long version, List<HostName> hosts) {
    List<HostEntry> entries =
        hosts.stream()
            .map(
                host ->
                    new HostEntry(
                        host,
                        new Endpoint("127.0.0.1", 1),
                        new RegionName("region"),
                        new FailureDomainName("domain"),
                        "cell",
                        false))
            .toList();
    return new HostList(version, entries, Set.of());
  }

  /** Runs the fleet and returns a description of the first overlap of rights, if any. */
  Optional<String> run(Duration duration, double faultsPerSecond) {
    long end = now + duration.toNanos();
    long nextFault = now;
    while (now < end) {
      Scheduled next = schedule.poll();
      now = Math.max(now, next.at());
      Optional<String> before = findOverlap();
      if (before.isPresent()) {
        return before;
      }
      next.action().run();
      Optional<String> after = findOverlap();
      if (after.isPresent()) {
        return after;
      }
      if (now >= nextFault && faultsPerSecond > 0) {
        nextFault = now + (long) (random.nextDouble() * 2e9 / faultsPerSecond);
        injectFault();
      }
    }
    return Optional.empty();
  }

  /** Returns how many valid attestations and how many open claims were checked. */
  List<Integer> coverage() {
    return List.of(attestedChecks, claimChecks);
  }

  Process process(HostName host) {
    return current.get(host);
  }

  void removeFromList(HostName host) {
    listed.remove(host);
    publish();
  }

  void relist(HostName host) {
    if (!listed.contains(host)) {
      listed.add(host);
    }
    publish();
  }

  /** Requests a planned stop of a process; some time later another run replaces it. */
  void leave(HostName host) {
    current.get(host).apply(new MembershipEvent.StopRequested());
    at(now + milliseconds(5_000), () -> restart(host));
  }

  void stop(HostName host) {
    current.get(host).endsAt = now;
  }

  void pause(HostName host, Duration duration) {
    current.get(host).pausedUntil = now + duration.toNanos();
  }

  void isolate(HostName host) {
    isolated.add(host);
  }

  void reconnectAll() {
    isolated.clear();
  }

  private void injectFault() {
    HostName host = name(random.nextInt(size));
    switch (random.nextInt(7)) {
      case 0 -> current.get(host).pausedUntil = now + milliseconds(25_000);
      case 1 -> restart(host);
      case 2 -> removeFromList(host);
      case 3 -> relist(host);
      case 4 -> isolated.add(host);
      case 5 -> leave(host);
      default -> isolated.remove(host);
    }
  }

  void restart(HostName host) {
    Process previous = current.get(host);
    previous.endsAt = now + (random.nextBoolean() ? 0 : milliseconds(20_000));
    start(host);
  }

  private void start(HostName host) {
    Process process = new Process(host);
    processes.add(process);
    current.put(host, process);
    if (version > 0) {
      deliverList(process, listOf(version, listed));
    }
    scheduleTick(process);
  }

  private void publish() {
    version++;
    HostList list = listOf(version, listed);
    processes.forEach(process -> deliverList(process, list));
  }

  private void deliverList(Process process, HostList list) {
    long lag = random.nextInt(4) == 0 ? milliseconds(30_000) : milliseconds(500);
    at(now + lag, () -> process.apply(new MembershipEvent.HostListRead(list)));
  }

  private void scheduleTick(Process process) {
    at(
        now + milliseconds(400),
        () -> {
          if (now < process.endsAt) {
            process.apply(new MembershipEvent.Tick(random.nextLong()));
            scheduleTick(process);
          }
        });
  }

  private void send(Process from, MembershipEffect.Send send) {
    int copies = random.nextInt(10) == 0 ? 0 : random.nextInt(10) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      long delay = random.nextInt(20) == 0 ? milliseconds(15_000) : milliseconds(40);
      var event =
          new MembershipEvent.MessageReceived(
              new Sender(from.name, from.incarnation), send.message());
      at(
          now + delay,
          () -> {
            if (!isolated.contains(from.name) && !isolated.contains(send.host())) {
              receiver(send.host(), send.message()).apply(event);
            }
          });
    }
  }

  /**
   * Selects the receiving run: attestations go to the run that requested them, all other messages
   * to the current run.
   */
  private Process receiver(HostName host, PeerMessage message) {
    return processes.stream()
        .filter(process -> process.name.equals(host) && now < process.endsAt)
        .filter(
            process ->
                message instanceof Attestation attestation
                    && attestation.incarnation().equals(process.incarnation))
        .findFirst()
        .orElse(current.get(host));
  }

  private Optional<String> findOverlap() {
    processes.removeIf(process -> now >= process.endsAt);
    for (Process owner : processes) {
      MonotonicTime ownerTime = owner.clock();
      for (Process other : processes) {
        if (owner.name.equals(other.name) || !owner.applied.isAttestedBy(other.name, ownerTime)) {
          continue;
        }
        attestedChecks++;
        if (current.get(other.name) == other
            && other.applied.mayClaimFrom(owner.name, other.clock())) {
          return Optional.of(owner.name + " uses rights that " + other.name + " claims at " + now);
        }
      }
      if (owner.attestedOtherRun().isPresent()) {
        return Optional.of("two runs of " + owner.name + " are attested at " + now);
      }
      claimChecks += owner.applied.claimableFrom().size();
    }
    return Optional.empty();
  }

  private void at(long time, Runnable action) {
    schedule.add(new Scheduled(time, order++, action));
  }

  private long milliseconds(int bound) {
    return random.nextInt(bound) * NANOSECONDS_PER_MILLISECOND;
  }

  private record Scheduled(long at, long order, Runnable action) {}

  /** One run of a host's process, with its own clock. */
  final class Process {
    private final HostName name;
    private final Incarnation incarnation = new Incarnation(random.nextLong() >>> 1);
    private final long offset = random.nextLong() >> 8;
    private final double rate = 1 + (random.nextDouble() * 2 - 1) * MAXIMUM_CLOCK_DRIFT;
    private final MembershipTransition membership;
    private MembershipState state;
    private RightsSnapshot applied;
    private long appliedSequence;
    private long pausedUntil;
    private long endsAt = Long.MAX_VALUE;

    Process(HostName name) {
      this.name = name;
      MembershipSettings settings = MembershipSettings.of(name, incarnation);
      this.membership = new MembershipTransition(settings, claimRule);
      this.state = MembershipState.initial(settings, clock());
      this.applied = state.rightsSnapshot();
    }

    MembershipState state() {
      return state;
    }

    MonotonicTime clock() {
      return new MonotonicTime(offset + (long) (now * rate));
    }

    void apply(MembershipEvent event) {
      if (now >= endsAt) {
        return;
      }
      if (now < pausedUntil) {
        at(pausedUntil, () -> apply(event));
        return;
      }
      Step<MembershipState, MembershipEffect> step = membership.apply(state, event, clock());
      state = step.state();
      step.effects().forEach(this::carryOut);
    }

    private void carryOut(MembershipEffect effect) {
      if (effect instanceof MembershipEffect.Send send) {
        send(this, send);
      } else if (effect instanceof MembershipEffect.RightsChanged changed) {
        at(now + milliseconds(300), () -> applyRights(changed));
      }
    }

    private void applyRights(MembershipEffect.RightsChanged changed) {
      if (now < pausedUntil) {
        at(pausedUntil, () -> applyRights(changed));
        return;
      }
      if (changed.sequence() > appliedSequence) {
        appliedSequence = changed.sequence();
        applied = changed.rightsSnapshot();
      }
      apply(new MembershipEvent.RightsApplied(appliedSequence));
    }

    private Optional<Process> attestedOtherRun() {
      return processes.stream()
          .filter(otherRun -> otherRun != this && otherRun.name.equals(name))
          .filter(
              otherRun ->
                  applied.attestedUntil().keySet().stream()
                      .anyMatch(
                          other ->
                              applied.isAttestedBy(other, clock())
                                  && otherRun.applied.isAttestedBy(other, otherRun.clock())))
          .findFirst();
    }
  }
}
