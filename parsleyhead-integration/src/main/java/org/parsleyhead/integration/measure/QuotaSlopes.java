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

/** What shares of limits cost as client accounts grow. Stateless and thread-safe. */
final class QuotaSlopes {

  private static final HostName SELF = new HostName("host-1");
  private static final Incarnation RUN = new Incarnation(1);
  private static final long RATE = 100_000;
  private static final int REQUESTS = 20_000;
  private static final int REQUESTS_PER_TICK = 50;
  private static final int TICKS = 50;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration SETTLING = Duration.ofMinutes(1);

  private QuotaSlopes() {}

  /** Measures one size. */
  static Figures measure(int accounts) {
    final long before = Cost.usedBytes();
    Driver<QuotaState, QuotaEvent, QuotaEffect> driver =
        new Driver<>(
            new QuotaTransition(QuotaSettings.of(SELF, RUN), LendingPolicy.byDemand()),
            QuotaState.initial(MonotonicTime.ORIGIN),
            MonotonicTime.ORIGIN);
    driver.apply(
        new QuotaEvent.RightsChanged(
            1,
            new RightsSnapshot(
                SELF, RUN, 1, new TreeSet<>(Set.of(SELF)), Map.of(), Map.of(), Map.of())));
    declare(driver, accounts);
    for (long count = 0; count < SETTLING.dividedBy(TICK_INTERVAL); count++) {
      driver.pass(TICK_INTERVAL);
      driver.apply(new QuotaEvent.Tick());
    }
    final long bytes = Cost.usedBytes() - before;
    serve(driver, accounts, 0);
    long[] admitted = {0};
    double request =
        Cost.microsecondsEach(REQUESTS, () -> admitted[0] = serve(driver, accounts, REQUESTS));
    double tick = Cost.microsecondsEach(TICKS, () -> tick(driver));
    return Figures.of("quota_by_client_accounts")
        .with("accounts", accounts)
        .with("bytes_per_account", (double) bytes / accounts)
        .with("admitted", admitted[0])
        .with("reserve_and_settle_microseconds", request)
        .with("tick_microseconds", tick)
        .with("ticks_percent_of_a_core", tick / TICK_INTERVAL.toNanos() * 1e5);
  }

  private static void declare(Driver<QuotaState, QuotaEvent, QuotaEffect> driver, int accounts) {
    for (int index = 0; index < accounts; index++) {
      driver.apply(
          new QuotaEvent.LimitsDeclared(
              account(index), new Limits(new TicketNumber(1), RATE, RATE)));
    }
  }

  private static long serve(
      Driver<QuotaState, QuotaEvent, QuotaEffect> driver, int accounts, int first) {
    long admitted = 0;
    for (int index = 0; index < REQUESTS; index++) {
      RequestIdentifier request = new RequestIdentifier("request-" + (first + index));
      ClientAccountName account = account(index % accounts);
      driver.pass(Duration.ofMillis(1));
      if (index % REQUESTS_PER_TICK == 0) {
        driver.apply(new QuotaEvent.Tick());
      }
      admitted +=
          driver.apply(new QuotaEvent.Reserve(request, account, 10)).stream()
              .filter(QuotaEffect.Admitted.class::isInstance)
              .count();
      driver.apply(new QuotaEvent.Settle(request, account, 10));
    }
    return admitted;
  }

  private static void tick(Driver<QuotaState, QuotaEvent, QuotaEffect> driver) {
    for (int count = 0; count < TICKS; count++) {
      driver.pass(TICK_INTERVAL);
      driver.apply(new QuotaEvent.Tick());
    }
  }

  private static ClientAccountName account(int index) {
    return new ClientAccountName("account-" + index);
  }
}
