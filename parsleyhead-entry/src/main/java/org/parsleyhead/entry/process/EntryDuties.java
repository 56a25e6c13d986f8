package org.parsleyhead.entry.process;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.engine.EngineEffect;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.engine.OwnershipState;
import org.parsleyhead.core.engine.OwnershipTransition;
import org.parsleyhead.core.engine.VictimChoice;
import org.parsleyhead.core.idempotency.RepeatEffect;
import org.parsleyhead.core.idempotency.RepeatEvent;
import org.parsleyhead.core.idempotency.RepeatState;
import org.parsleyhead.core.idempotency.RepeatTransition;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.membership.Membership;
import org.parsleyhead.core.membership.MembershipEffect;
import org.parsleyhead.core.membership.MembershipEvent;
import org.parsleyhead.core.membership.MembershipSettings;
import org.parsleyhead.core.membership.MembershipState;
import org.parsleyhead.core.membership.Standing;
import org.parsleyhead.core.quota.LendingPolicy;
import org.parsleyhead.core.quota.QuotaEffect;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.quota.QuotaSettings;
import org.parsleyhead.core.quota.QuotaState;
import org.parsleyhead.core.quota.QuotaTransition;
import org.parsleyhead.core.request.RequestEffect;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.core.request.RequestState;
import org.parsleyhead.core.request.RequestTransition;
import org.parsleyhead.core.scheduling.SchedulingEffect;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.core.scheduling.SchedulingSettings;
import org.parsleyhead.core.scheduling.SchedulingState;
import org.parsleyhead.core.scheduling.SchedulingTransition;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.Configuration;
import org.parsleyhead.core.ticket.ConfigurationEffect;
import org.parsleyhead.core.ticket.ConfigurationEvent;
import org.parsleyhead.core.ticket.ConfigurationSettings;
import org.parsleyhead.core.ticket.ConfigurationState;
import org.parsleyhead.runtime.administration.Readiness;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * The duties of an entry host, one thread each.
 *
 * <p>Thread-safe after construction.
 */
final class EntryDuties implements AutoCloseable {

  private static final Duration REQUEST_TICK = Duration.ofMillis(100);
  private static final Duration DECISION_TICK = Duration.ofMillis(50);
  private static final Duration CONTROL_TICK = Duration.ofMillis(100);
  private static final Duration LONGEST_WAIT_FOR_SHARE = Duration.ofSeconds(15);

  private final EntrySettings settings;
  private final MonotonicClock clock;
  private final LongSupplier random;
  private final EventLog log;
  private final Duty<RequestState, RequestEvent, RequestEffect> requests;
  private final Duty<RepeatState, RepeatEvent, RepeatEffect> repeats;
  private final Duty<QuotaState, QuotaEvent, QuotaEffect> quota;
  private final Duty<SchedulingState, SchedulingEvent, SchedulingEffect> scheduling;
  private final Duty<OwnershipState, EngineEvent, EngineEffect> ownership;
  private final Duty<MembershipState, MembershipEvent, MembershipEffect> membership;
  private final Duty<ConfigurationState, ConfigurationEvent, ConfigurationEffect> configuration;

  EntryDuties(
      EntrySettings settings,
      Sender self,
      DutySockets sockets,
      MonotonicClock clock,
      LongSupplier random,
      EventLog log) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.log = log;
    MonotonicTime now = clock.now();
    MembershipSettings membershipSettings = MembershipSettings.of(self.host(), self.incarnation());
    MembershipState membershipStart = MembershipState.initial(membershipSettings, now);
    Standing standing = membershipStart.standing();
    Rings rings = sockets.rings();
    RightsBarrier barrier =
        new RightsBarrier(
            List.of(this::repeatVersion, this::schedulingVersion, this::ownershipVersion),
            rings.membership()::offer);
    this.requests =
        duty(
            rings.request(),
            RequestState.initial(settings.requests()),
            new RequestTransition(),
            sockets.requests(),
            RequestEvent.Tick::new,
            REQUEST_TICK);
    this.repeats =
        duty(
            rings.repeat(),
            RepeatState.initial(settings.repeats(), standing, now),
            new RepeatTransition(),
            effect -> RequestWiring.onRepeatEffect(rings, sockets.peers(), effect),
            RepeatEvent.Tick::new,
            DECISION_TICK);
    this.quota =
        duty(
            rings.quota(),
            QuotaState.initial(now),
            new QuotaTransition(
                QuotaSettings.of(self.host(), self.incarnation()),
                settings.lending() ? LendingPolicy.byDemand() : LendingPolicy.none()),
            effect -> RequestWiring.onQuotaEffect(rings, sockets.peers(), barrier, effect),
            QuotaEvent.Tick::new,
            DECISION_TICK);
    this.scheduling = schedulingDuty(sockets, standing, now);
    this.ownership = ownershipDuty(sockets, standing, membershipSettings, now);
    ConfigurationEffects configurationEffects =
        new ConfigurationEffects(
            rings,
            sockets.peers(),
            sockets.configuration()::read,
            this::hostList,
            sockets.audit(),
            log);
    this.membership =
        duty(
            rings.membership(),
            membershipStart,
            new Membership(membershipSettings),
            new MembershipEffects(
                rings,
                sockets.peers(),
                barrier,
                this::membershipState,
                () -> configurationEffects.distribute(declared(), Set.of()),
                log),
            () -> new MembershipEvent.Tick(random.getAsLong()),
            CONTROL_TICK);
    this.configuration =
        duty(
            rings.configuration(),
            ConfigurationState.initial(now),
            new Configuration(ConfigurationSettings.of(self.host(), settings.failureDomain())),
            configurationEffects,
            () -> new ConfigurationEvent.Tick(random.getAsLong()),
            CONTROL_TICK);
  }

  void start() {
    configuration.start();
    quota.start();
    repeats.start();
    scheduling.start();
    ownership.start();
    requests.start();
    membership.start();
  }

  @Override
  public void close() {
    membership.close();
    requests.close();
    ownership.close();
    scheduling.close();
    repeats.close();
    quota.close();
    configuration.close();
  }

  /** Returns the newest host list. */
  HostList hostList() {
    return membership.state().hostList();
  }

  /** Returns the catalogue with which requests are decided. */
  Catalogue catalogue() {
    return requests.state().catalogue();
  }

  /** Returns the catalogue as it was declared. */
  Catalogue declared() {
    return configuration.state().catalogue();
  }

  /** Returns the number up to which all tickets are merged. */
  long mergedThrough() {
    return configuration.state().mergedThrough();
  }

  int activeRequests() {
    return requests.state().activeCount();
  }

  Readiness readiness(MonotonicTime now, MonotonicTime started) {
    if (!configuration.state().ready()) {
      return Readiness.notReady("configuration_unknown");
    }
    if (hostList().find(settings.host()).isEmpty()) {
      return Readiness.notReady("host_not_listed");
    }
    boolean waited = now.since(started).compareTo(LONGEST_WAIT_FOR_SHARE) > 0;
    if (!waited && !quota.state().hasShare(now)) {
      return Readiness.notReady("no_share_of_limits");
    }
    return Readiness.READY;
  }

  private MembershipState membershipState() {
    return membership.state();
  }

  private long repeatVersion() {
    return repeats.state().listVersion();
  }

  private long schedulingVersion() {
    return scheduling.state().standing().version();
  }

  private long ownershipVersion() {
    return ownership.state().standing().version();
  }

  private Duty<SchedulingState, SchedulingEvent, SchedulingEffect> schedulingDuty(
      DutySockets sockets, Standing standing, MonotonicTime now) {
    SchedulingSettings scheduler = SchedulingSettings.defaults();
    return duty(
        sockets.rings().scheduling(),
        SchedulingState.initial(standing, now),
        new SchedulingTransition(scheduler, SchedulingPolicy.named(settings.policy(), scheduler)),
        new SchedulingEffects(sockets.rings(), sockets.peers(), this::catalogue),
        () -> new SchedulingEvent.Tick(random.getAsLong()),
        DECISION_TICK);
  }

  private Duty<OwnershipState, EngineEvent, EngineEffect> ownershipDuty(
      DutySockets sockets,
      Standing standing,
      MembershipSettings membershipSettings,
      MonotonicTime now) {
    VictimChoice victims =
        settings.policy().equals(SchedulingPolicy.ADAPTIVE)
            ? VictimChoice.leastExpectedReuse()
            : VictimChoice.leastRecentlyUsed();
    return duty(
        sockets.rings().ownership(),
        OwnershipState.initial(standing, now),
        new OwnershipTransition(
            EngineOrders.settings(settings.weightStore(), membershipSettings), victims),
        effect -> EngineOrders.carryOut(sockets, effect),
        () -> new EngineEvent.Tick(random.getAsLong()),
        DECISION_TICK);
  }

  private <S, E, F> Duty<S, E, F> duty(
      Ring<E> ring,
      S initial,
      Transition<S, E, F> transition,
      Consumer<F> effects,
      Supplier<E> ticks,
      Duration interval) {
    return new Duty<>(
        ring,
        initial,
        transition,
        effects,
        ticks,
        interval,
        clock,
        failure -> log.failure("duty_failed", failure, "duty", ring.name()));
  }
}
