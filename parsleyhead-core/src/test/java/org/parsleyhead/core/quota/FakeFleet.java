package org.parsleyhead.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.DoubleSupplier;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.TicketNumber;

/**
 * A cell of quota transitions on one fake clock, with a network that loses, delays and duplicates
 * messages. Not thread-safe.
 */
final class FakeFleet {

  static final ClientAccountName ACCOUNT = new ClientAccountName("kestrel");
  static final long SECOND = Duration.ofSeconds(1).toNanos();
  static final long MILLISECOND = Duration.ofMillis(1).toNanos();

  private static final long MAXIMUM_PAUSE = 45 * SECOND;

  final Random random;
  final List<FakeHost> hosts = new ArrayList<>();
  final AdmissionLedger ledger;
  final BiFunction<QuotaSettings, LendingPolicy, QuotaTransition> transitions;
  final LendingPolicy policy;
  DoubleSupplier usedFraction = () -> 0.2 + 0.8 * randomFraction();
  long maximumDuration = 3 * SECOND;
  double loss;
  double duplication;
  long maximumDelay = 3 * MILLISECOND;
  long listVersion = 1;
  SortedSet<HostName> listed = new TreeSet<>();
  Limits limits;
  long now;
  private final PriorityQueue<Scheduled> schedule =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::time).thenComparingLong(Scheduled::sequence));
  private long sequence;
  private long requests;

  FakeFleet(
      long seed,
      int size,
      Limits limits,
      LendingPolicy policy,
      BiFunction<QuotaSettings, LendingPolicy, QuotaTransition> transitions) {
    this.random = new Random(seed);
    this.limits = limits;
    this.policy = policy;
    this.transitions = transitions;
    this.ledger = new AdmissionLedger(limits);
    for (int index = 0; index < size; index++) {
      HostName name = new HostName("host-" + index);
      hosts.add(new FakeHost(this, name));
      listed.add(name);
    }
    hosts.forEach(FakeHost::start);
  }

  static Limits limits(long ticket, long tokensPerSecond, long burstTokens) {
    return new Limits(new TicketNumber(ticket), tokensPerSecond, burstTokens);
  }

  void at(long time, Runnable action) {
    schedule.add(new Scheduled(time, sequence++, action));
  }

  void after(long delay, Runnable action) {
    at(now + delay, action);
  }

  void runUntil(long time) {
    while (!schedule.isEmpty() && schedule.peek().time() <= time) {
      Scheduled next = schedule.poll();
      now = Math.max(now, next.time());
      next.action().run();
    }
    now = time;
  }

  /** Delivers a message unless it is lost or the hosts are in different partitions. */
  void send(FakeHost from, HostName to, Object message) {
    FakeHost receiver = host(to);
    int copies = random.nextDouble() < duplication ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (from.partition == receiver.partition && random.nextDouble() >= loss) {
        long delay = MILLISECOND + (long) (random.nextDouble() * maximumDelay);
        after(delay, () -> receiver.deliver(from.sender(), message));
      }
    }
  }

  FakeHost host(HostName name) {
    return hosts.stream().filter(host -> host.name.equals(name)).findFirst().orElseThrow();
  }

  /** Publishes a host list; each host reads it after a random lag. */
  void publish(SortedSet<HostName> members, long maximumLag) {
    listed = new TreeSet<>(members);
    listVersion++;
    long version = listVersion;
    for (FakeHost host : hosts) {
      long lag = (long) (random.nextDouble() * maximumLag);
      after(lag, () -> host.readList(version, members));
    }
  }

  /** Publishes changed limits; each host reads them after a random lag. */
  void declare(Limits changed, long maximumLag) {
    limits = changed;
    ledger.changeLimits(now, changed, now + maximumLag + MAXIMUM_PAUSE);
    for (FakeHost host : hosts) {
      after((long) (random.nextDouble() * maximumLag), () -> host.readLimits(changed));
    }
  }

  /** Sends a request of random size to a host; it is settled after a random duration. */
  void request(FakeHost host, long maximumTokens) {
    long tokens = maximumTokens / 10 + (long) (random.nextDouble() * maximumTokens * 9 / 10);
    long used = (long) (usedFraction.getAsDouble() * tokens);
    long duration = 200 * MILLISECOND + (long) (random.nextDouble() * maximumDuration);
    RequestIdentifier request = new RequestIdentifier("request-" + requests++);
    ledger.offered(now);
    host.reserve(request, tokens, used, duration);
  }

  private double randomFraction() {
    return random.nextDouble();
  }

  private record Scheduled(long time, long sequence, Runnable action) {}
}
