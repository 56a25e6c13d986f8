package org.parsleyhead.integration.measure;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.quota.LendingPolicy;
import org.parsleyhead.core.quota.Limits;
import org.parsleyhead.core.quota.QuotaEffect;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.quota.QuotaSettings;
import org.parsleyhead.core.quota.QuotaState;
import org.parsleyhead.core.quota.QuotaTransition;

/** Measures the quota core for a number of client accounts. Stateless and thread-safe. */
final class QuotaBenchmark {

  private static final HostName SELF = new HostName("host-1");
  private static final Incarnation INCARNATION = new Incarnation(1);
  private static final long RATE = 100_000;
  private static final int REQUESTS = 20_000;
  private static final int REQUESTS_PER_TICK = 50;
  private static final int TICKS = 50;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration SETTLING_TIME = Duration.ofMinutes(1);

  private QuotaBenchmark() {}

  /** Measures a host without peers that holds the limits of all client accounts. */
  static ReportRow measure(int accounts) {
    final long before = ResourceUsage.usedHeapBytes();
    TransitionRunner<QuotaState, QuotaEvent, QuotaEffect> runner =
        new TransitionRunner<>(
            new QuotaTransition(QuotaSettings.of(SELF, INCARNATION), LendingPolicy.byDemand()),
            QuotaState.initial(MonotonicTime.ORIGIN),
            MonotonicTime.ORIGIN);
    runner.apply(
        new QuotaEvent.RightsChanged(
            1,
            new RightsSnapshot(
                SELF, INCARNATION, 1, new TreeSet<>(Set.of(SELF)), Map.of(), Map.of(), Map.of())));
    declare(runner, accounts);
    for (long count = 0; count < SETTLING_TIME.dividedBy(TICK_INTERVAL); count++) {
      runner.advanceTime(TICK_INTERVAL);
      runner.apply(new QuotaEvent.Tick());
    }
    final long bytes = ResourceUsage.usedHeapBytes() - before;
    serve(runner, accounts, 0);
    long[] admitted = {0};
    double request =
        ResourceUsage.meanCpuMicroseconds(
            REQUESTS, () -> admitted[0] = serve(runner, accounts, REQUESTS));
    double tick = ResourceUsage.meanCpuMicroseconds(TICKS, () -> tick(runner));
    return ReportRow.of("quota_by_client_accounts")
        .with("accounts", accounts)
        .with("bytes_per_account", (double) bytes / accounts)
        .with("admitted", admitted[0])
        .with("reserve_and_settle_microseconds", request)
        .with("tick_microseconds", tick)
        .with("ticks_percent_of_a_core", tick / TICK_INTERVAL.toNanos() * 1e5);
  }

  private static void declare(
      TransitionRunner<QuotaState, QuotaEvent, QuotaEffect> runner, int accounts) {
    for (int index = 0; index < accounts; index++) {
      runner.apply(
          new QuotaEvent.LimitsDeclared(
              account(index), new Limits(new TicketNumber(1), RATE, RATE)));
    }
  }

  private static long serve(
      TransitionRunner<QuotaState, QuotaEvent, QuotaEffect> runner, int accounts, int first) {
    long admitted = 0;
    for (int index = 0; index < REQUESTS; index++) {
      RequestIdentifier request = new RequestIdentifier("request-" + (first + index));
      ClientAccountName account = account(index % accounts);
      runner.advanceTime(Duration.ofMillis(1));
      if (index % REQUESTS_PER_TICK == 0) {
        runner.apply(new QuotaEvent.Tick());
      }
      admitted +=
          runner.apply(new QuotaEvent.Reserve(request, account, 10)).stream()
              .filter(QuotaEffect.Admitted.class::isInstance)
              .count();
      runner.apply(new QuotaEvent.Settle(request, account, 10));
    }
    return admitted;
  }

  private static void tick(TransitionRunner<QuotaState, QuotaEvent, QuotaEffect> runner) {
    for (int count = 0; count < TICKS; count++) {
      runner.advanceTime(TICK_INTERVAL);
      runner.apply(new QuotaEvent.Tick());
    }
  }

  private static ClientAccountName account(int index) {
    return new ClientAccountName("account-" + index);
  }
}
