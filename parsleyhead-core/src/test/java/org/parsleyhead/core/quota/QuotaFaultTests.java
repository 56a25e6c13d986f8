package org.parsleyhead.core.quota;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.BiFunction;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.core.api.HostName;

@DisplayName("A fleet under faults")
class QuotaFaultTests {

  private static final long RATE = 2_000;
  private static final long BURST = 4_000;
  private static final long RUN_DURATION = 150 * FakeFleet.SECOND;
  private static final int FEW_SCHEDULES = 60;
  private static final int SCHEDULES_PER_FAULT = 200;
  private static final int MANY_SCHEDULES = 3_000;

  enum Fault {
    PAUSE,
    RESTART,
    CRASH,
    PARTITION,
    LOSS,
    DELAY,
    LIST_CHANGE,
    TICKET
  }

  @Test
  @DisplayName("never admits more than its rate and burst")
  void keepsBound() {
    assertBoundKept(1, FEW_SCHEDULES, List.of(Fault.values()));
  }

  @Test
  @Tag("long-running")
  @DisplayName("never admits more than its rate and burst in thousands of schedules")
  void keepsBoundInMany() {
    assertBoundKept(10_000, MANY_SCHEDULES, List.of(Fault.values()));
  }

  @Test
  @DisplayName("never admits more while a host has not yet received the list without it")
  void keepsBoundWithRemovedHost() {
    double ratio = runWithRemovedHost(QuotaTransition::new);
    System.out.println("admitted to allowed ratio with a removed host: " + ratio);
    assertTrue(ratio <= 1);
  }

  /**
   * Removes one of three hosts, which keeps the old list, under a load of several times the rate.
   */
  private static double runWithRemovedHost(
      BiFunction<QuotaSettings, LendingPolicy, QuotaTransition> transitions) {
    FakeFleet fleet =
        new FakeFleet(5, 3, FakeFleet.limits(1, RATE, BURST), LendingPolicy.none(), transitions);
    fleet.usedFraction = () -> 1;
    FakeHost removed = fleet.hosts.get(2);
    fleet.at(
        25 * FakeFleet.SECOND,
        () -> {
          removed.ignoreLists();
          fleet.publish(new TreeSet<>(fleet.listed.headSet(removed.name)), 0);
        });
    for (long time = 27 * FakeFleet.SECOND; time < 60 * FakeFleet.SECOND; ) {
      time += 10 * FakeFleet.MILLISECOND;
      fleet.at(time, () -> fleet.request(fleet.hosts.get(fleet.random.nextInt(3)), 200));
    }
    fleet.runUntil(60 * FakeFleet.SECOND);
    return fleet.ledger.admittedToAllowedRatio();
  }

  @ParameterizedTest
  @EnumSource
  @Tag("long-running")
  @DisplayName("never admits more than its rate and burst under one kind of fault")
  void keepsBoundUnder(Fault fault) {
    System.out.print(fault + ": ");
    assertBoundKept(50_000, SCHEDULES_PER_FAULT, List.of(fault));
  }

  private static void assertBoundKept(long firstSeed, int schedules, List<Fault> faults) {
    double maximumRatio = 0;
    long admitted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      FakeFleet fleet = run(seed, QuotaTransition::new, faults);
      double ratio = fleet.ledger.admittedToAllowedRatio();
      admitted += fleet.ledger.admittedRequests();
      maximumRatio = Math.max(maximumRatio, ratio);
      assertTrue(ratio <= 1, "seed " + seed + " reached ratio " + ratio);
    }
    System.out.printf(
        "%d schedules from seed %d: %d requests, admitted to allowed ratio at most %.4f%n",
        schedules, firstSeed, admitted, maximumRatio);
  }

  /** Runs one random schedule of faults under a load of several times the rate. */
  private static FakeFleet run(
      long seed,
      BiFunction<QuotaSettings, LendingPolicy, QuotaTransition> transitions,
      List<Fault> faults) {
    int size = 3 + (int) (seed % 4);
    FakeFleet fleet =
        new FakeFleet(
            seed, size, FakeFleet.limits(1, RATE, BURST), LendingPolicy.byDemand(), transitions);
    fleet.duplication = 0.05;
    fleet.maximumDuration = 6 * FakeFleet.SECOND;
    // Most requests use their whole reservation, the others use nothing.
    fleet.usedFraction = () -> fleet.random.nextInt(10) < 8 ? 1 : 0;
    long time = 15 * FakeFleet.SECOND;
    while (time < RUN_DURATION) {
      time += (long) (fleet.random.nextDouble() * 20 * FakeFleet.SECOND);
      fleet.at(time, () -> inject(fleet, faults));
    }
    // The load alternates, so that buckets fill up in quiet phases and drain in busy ones.
    double request = 0;
    while (request < RUN_DURATION) {
      boolean busy = (long) request / (5 * FakeFleet.SECOND) % 2 == 0;
      request += -Math.log(1 - fleet.random.nextDouble()) * FakeFleet.SECOND / (busy ? 20 : 1);
      fleet.at((long) request, () -> fleet.request(target(fleet), 1_000));
    }
    fleet.runUntil(RUN_DURATION);
    return fleet;
  }

  private static FakeHost target(FakeFleet fleet) {
    boolean rotating = fleet.now / (20 * FakeFleet.SECOND) % 2 == 0;
    int index =
        rotating
            ? (int) (fleet.now / (5 * FakeFleet.SECOND) % fleet.hosts.size())
            : fleet.random.nextInt(fleet.hosts.size());
    return fleet.hosts.get(index);
  }

  private static void inject(FakeFleet fleet, List<Fault> faults) {
    FakeHost host = fleet.hosts.get(fleet.random.nextInt(fleet.hosts.size()));
    long duration = (long) (Math.pow(fleet.random.nextDouble(), 2) * 40 * FakeFleet.SECOND);
    switch (faults.get(fleet.random.nextInt(faults.size()))) {
      case PAUSE -> host.pause(duration);
      case RESTART -> host.start();
      case CRASH -> {
        host.stop();
        fleet.after(duration, host::start);
      }
      case PARTITION -> partition(fleet, duration);
      case LOSS -> {
        fleet.loss = 0.4;
        fleet.after(duration, () -> fleet.loss = 0);
      }
      case DELAY -> {
        fleet.maximumDelay = 4 * FakeFleet.SECOND;
        fleet.after(duration, () -> fleet.maximumDelay = 3 * FakeFleet.MILLISECOND);
      }
      case LIST_CHANGE -> changeList(fleet, host, duration);
      default -> declare(fleet, duration / 4);
    }
  }

  private static void partition(FakeFleet fleet, long duration) {
    fleet.hosts.forEach(host -> host.partition = fleet.random.nextInt(2));
    fleet.after(duration, () -> fleet.hosts.forEach(host -> host.partition = 0));
  }

  /** Removes a host from the list, or restores the full list if a host is missing. */
  private static void changeList(FakeFleet fleet, FakeHost host, long lag) {
    TreeSet<HostName> members = new TreeSet<>();
    fleet.hosts.forEach(each -> members.add(each.name));
    if (members.equals(fleet.listed)) {
      members.remove(host.name);
    }
    fleet.publish(members, lag);
  }

  private static void declare(FakeFleet fleet, long lag) {
    boolean paused = fleet.hosts.stream().anyMatch(FakeHost::isPaused);
    if (!paused) {
      long factor = 1 + fleet.random.nextInt(3);
      long ticket = fleet.limits.ticket().value() + 1;
      fleet.declare(FakeFleet.limits(ticket, RATE * factor / 2, BURST * factor / 2), lag);
    }
  }

  @Nested
  @DisplayName("without one of the rules")
  class WithoutRule {

    @Test
    @DisplayName("exceeds the bound if a new allocation is installed without delay")
    void withoutWait() {
      double ratio =
          runWithRemovedHost(
              (settings, policy) ->
                  transition(
                      settings,
                      policy,
                      Duration.ZERO,
                      TokenBucket::refund,
                      settings.driftMargin()));
      System.out.println("admitted to allowed ratio without the delay: " + ratio);
      assertTrue(ratio > 1);
    }

    @Test
    @DisplayName("exceeds the bound if a lender reuses parts that the borrower still uses")
    void withoutLenderWait() {
      assertBoundExceeded(
          (settings, policy) ->
              transition(
                  settings,
                  policy,
                  settings.installDelay(),
                  TokenBucket::refund,
                  settings.loanDuration().negated()));
    }

    @Test
    @DisplayName("exceeds the bound if refunds depend on the current spare capacity only")
    void withoutHistory() {
      assertBoundExceeded(
          (settings, policy) ->
              transition(
                  settings,
                  policy,
                  settings.installDelay(),
                  (bucket, position, amount) -> bucket.credit(amount),
                  settings.driftMargin()));
    }

    private static void assertBoundExceeded(
        BiFunction<QuotaSettings, LendingPolicy, QuotaTransition> transitions) {
      List<Double> ratios = new ArrayList<>();
      for (long seed = 1;
          seed <= FEW_SCHEDULES && ratios.stream().noneMatch(ratio -> ratio > 1);
          seed++) {
        ratios.add(run(seed, transitions, List.of(Fault.values())).ledger.admittedToAllowedRatio());
      }
      System.out.println("admitted to allowed ratio without a rule: " + ratios);
      assertFalse(ratios.stream().noneMatch(ratio -> ratio > 1));
    }

    private static QuotaTransition transition(
        QuotaSettings settings,
        LendingPolicy policy,
        Duration installDelay,
        RefundRule refundRule,
        Duration loanMargin) {
      return new QuotaTransition(
          new ShareRules(settings, installDelay),
          new AdmissionRules(settings, refundRule),
          new LoanRules(settings, loanMargin, policy, new DemandRules()));
    }
  }
}
