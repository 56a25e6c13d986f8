package org.parsleyhead.entry.process;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.engine.EngineEffect;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.engine.EvictionPolicy;
import org.parsleyhead.core.engine.OwnershipState;
import org.parsleyhead.core.engine.OwnershipTransition;
import org.parsleyhead.core.idempotency.RepeatEffect;
import org.parsleyhead.core.idempotency.RepeatEvent;
import org.parsleyhead.core.idempotency.RepeatState;
import org.parsleyhead.core.idempotency.RepeatTransition;
import org.parsleyhead.core.membership.MembershipSettings;
import org.parsleyhead.core.membership.MembershipState;
import org.parsleyhead.core.membership.RightsSnapshot;
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
import org.parsleyhead.core.routing.DomainDistance;
import org.parsleyhead.core.routing.RoutingEffect;
import org.parsleyhead.core.routing.RoutingEvent;
import org.parsleyhead.core.routing.RoutingSettings;
import org.parsleyhead.core.routing.RoutingState;
import org.parsleyhead.core.routing.RoutingTransition;
import org.parsleyhead.core.scheduling.SchedulingEffect;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.core.scheduling.SchedulingSettings;
import org.parsleyhead.core.scheduling.SchedulingState;
import org.parsleyhead.core.scheduling.SchedulingTransition;
import org.parsleyhead.core.ticket.Catalogue;
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

  private static final Duration REQUEST_TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration RECONCILIATION_INTERVAL = Duration.ofSeconds(5);
  private static final Duration DECISION_TICK_INTERVAL = Duration.ofMillis(50);

  private final EntrySettings settings;
  private final MonotonicClock clock;
  private final LongSupplier random;
  private final BiConsumer<String, Throwable> failures;
  private final RightsBarrier barrier;
  private final Duty<RequestState, RequestEvent, RequestEffect> requests;
  private final Duty<RepeatState, RepeatEvent, RepeatEffect> repeats;
  private final Duty<QuotaState, QuotaEvent, QuotaEffect> quota;
  private final Duty<SchedulingState, SchedulingEvent, SchedulingEffect> scheduling;
  private final Duty<RoutingState, RoutingEvent, RoutingEffect> routing;
  private final Duty<OwnershipState, EngineEvent, EngineEffect> ownership;

  EntryDuties(
      EntrySettings settings,
      MembershipSettings membership,
      DutyDependencies dependencies,
      MonotonicClock clock,
      LongSupplier random,
      EventLog log,
      BiConsumer<String, Throwable> failures) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.failures = failures;
    MonotonicTime now = clock.now();
    RightsSnapshot rightsSnapshot = MembershipState.initial(membership, now).rightsSnapshot();
    Rings rings = dependencies.rings();
    this.barrier =
        new RightsBarrier(
            List.of(
                () -> repeats().rightsSnapshot(),
                () -> scheduling().rightsSnapshot(),
                () -> ownership().rightsSnapshot()));
    this.requests =
        duty(
            rings.request(),
            RequestState.initial(settings.requests()),
            new RequestTransition(),
            dependencies.requests(),
            RequestEvent.Tick::new,
            REQUEST_TICK_INTERVAL);
    this.repeats =
        duty(
            rings.repeat(),
            RepeatState.initial(settings.repeats(), rightsSnapshot, now),
            new RepeatTransition(),
            effect -> RequestWiring.executeRepeatEffect(rings, dependencies.peers(), effect),
            RepeatEvent.Tick::new,
            DECISION_TICK_INTERVAL);
    this.quota =
        duty(
            rings.quota(),
            QuotaState.initial(now),
            new QuotaTransition(
                QuotaSettings.of(membership),
                settings.lending() ? LendingPolicy.byDemand() : LendingPolicy.none()),
            effect ->
                RequestWiring.executeQuotaEffect(rings, dependencies.peers(), barrier, effect),
            QuotaEvent.Tick::new,
            DECISION_TICK_INTERVAL);
    this.scheduling = schedulingDuty(dependencies, rightsSnapshot, now);
    this.routing =
        duty(
            rings.routing(),
            RoutingState.initial(),
            new RoutingTransition(
                RoutingSettings.defaults(), DomainDistance.ownFirst(settings.failureDomain())),
            new RoutingEffectExecutor(rings, this::catalogue, clock, log),
            () -> new RoutingEvent.UpstreamsChanged(catalogue().upstreams()),
            RECONCILIATION_INTERVAL);
    this.ownership = ownershipDuty(dependencies, rightsSnapshot, membership, now);
  }

  void start() {
    quota.start();
    repeats.start();
    scheduling.start();
    routing.start();
    ownership.start();
    requests.start();
  }

  @Override
  public void close() {
    requests.close();
    ownership.close();
    routing.close();
    scheduling.close();
    repeats.close();
    quota.close();
  }

  /** Returns the barrier over the users of exclusive rights. */
  RightsBarrier barrier() {
    return barrier;
  }

  /** Returns the catalogue that the request duty currently uses. */
  Catalogue catalogue() {
    return requests.state().catalogue();
  }

  int activeRequests() {
    return requests.state().activeCount();
  }

  /** Returns whether this host holds a share of the limits of client accounts. */
  boolean hasShare(MonotonicTime now) {
    return quota.state().hasShare(now);
  }

  private RepeatState repeats() {
    return repeats.state();
  }

  private SchedulingState scheduling() {
    return scheduling.state();
  }

  private OwnershipState ownership() {
    return ownership.state();
  }

  private Duty<SchedulingState, SchedulingEvent, SchedulingEffect> schedulingDuty(
      DutyDependencies dependencies, RightsSnapshot rightsSnapshot, MonotonicTime now) {
    SchedulingSettings schedulingSettings = SchedulingSettings.defaults();
    return duty(
        dependencies.rings().scheduling(),
        SchedulingState.initial(rightsSnapshot, now),
        new SchedulingTransition(
            schedulingSettings, SchedulingPolicy.named(settings.policy(), schedulingSettings)),
        new SchedulingEffectExecutor(dependencies.rings(), dependencies.peers(), this::catalogue),
        () -> new SchedulingEvent.Tick(random.getAsLong()),
        DECISION_TICK_INTERVAL);
  }

  private Duty<OwnershipState, EngineEvent, EngineEffect> ownershipDuty(
      DutyDependencies dependencies,
      RightsSnapshot rightsSnapshot,
      MembershipSettings membership,
      MonotonicTime now) {
    EvictionPolicy evictionPolicy =
        settings.policy().equals(SchedulingPolicy.ADAPTIVE)
            ? EvictionPolicy.leastExpectedReuse()
            : EvictionPolicy.leastRecentlyUsed();
    return duty(
        dependencies.rings().ownership(),
        OwnershipState.initial(rightsSnapshot, now),
        new OwnershipTransition(
            OwnershipWiring.settings(settings.weightStore(), membership), evictionPolicy),
        effect -> OwnershipWiring.execute(dependencies, effect),
        () -> new EngineEvent.Tick(random.getAsLong()),
        DECISION_TICK_INTERVAL);
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
        failure -> failures.accept(ring.name(), failure));
  }
}
