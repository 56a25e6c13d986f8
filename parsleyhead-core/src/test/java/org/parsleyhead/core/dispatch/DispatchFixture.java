package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.LongConsumer;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.overload.SpreadRetryAfter;
import org.parsleyhead.core.overload.WaitPolicy;
import org.parsleyhead.core.placement.PlacementSettings;
import org.parsleyhead.core.quarantine.Trait;
import org.parsleyhead.core.quarantine.TraitReport;
import org.parsleyhead.core.quarantine.TrialRight;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.RequestKind;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.parsleyhead.core.serving.ServiceRoute;
import org.parsleyhead.core.serving.WeightedService;

/** The dispatch duty of one host with a manual clock. Confined to one thread. */
final class DispatchFixture {

  static final String KEY = "key-of-account";
  static final String HOST = "desk.example";
  static final AdapterKey ADAPTER = new AdapterKey("base", "a1");
  static final Trait PART = new Trait(Trait.Kind.PROMPT_PART, 7);
  static final FailureDomainName NEAR = new FailureDomainName("near");
  static final RegionName HOME = new RegionName("home");

  private static final DispatchSettings SETTINGS = settings("self");

  private final DispatchTransition transition = new DispatchTransition(SETTINGS);
  private MonotonicTime now = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));
  private DispatchState state = DispatchState.initial(now);
  private long lastKey;

  /** Returns a fixture with a catalogue, two instances of each service and a retry budget. */
  static DispatchFixture running() {
    DispatchFixture fixture = new DispatchFixture();
    fixture.apply(new DispatchEvent.CatalogueChanged(catalogue(1, 10_000)));
    fixture.announce(plain("p1"), plain("p2"), engine("e1"), engine("e2"));
    for (String service : List.of("plain", "engine")) {
      fixture.state = fixture.state.withBudget(service, RetryBudget.fresh(fixture.now));
    }
    fixture.advance(SETTINGS.retryWindow());
    fixture.apply(new DispatchEvent.InstanceOwnersChanged(Set.of("e1", "e2"), Duration.ZERO));
    return fixture;
  }

  /** Returns the settings of a host. */
  static DispatchSettings settings(String self) {
    return new DispatchSettings(
        NEAR,
        38,
        Duration.ofMillis(250),
        Duration.ofMillis(25),
        Duration.ofMillis(1500),
        0.2,
        60,
        Duration.ofSeconds(10),
        0.1,
        0,
        new SpreadRetryAfter(),
        WaitPolicy.upToFraction(0.7),
        TrialRight.inTurn(self),
        new PlacementSettings(self, false, Map.of(NEAR, HOME)));
  }

  /** Returns a fixture of a host that knows the servers of the plain service. */
  static DispatchFixture ofPlainPool(Duration latencyTarget, Instance... instances) {
    DispatchFixture fixture = new DispatchFixture();
    ServiceRoute route =
        new ServiceRoute(
            "book",
            HOST,
            "/book/",
            RequestKind.NON_IDEMPOTENT,
            Duration.ofSeconds(1),
            latencyTarget,
            Duration.ofMillis(250),
            1,
            List.of(new WeightedService("plain", 1)),
            1,
            false);
    fixture.apply(
        new DispatchEvent.CatalogueChanged(
            new ServiceCatalogue(
                1, List.of(route), services(), RequestLimits.INITIAL, List.of(account(1e9)))));
    fixture.announce(instances);
    return fixture;
  }

  static Instance plainWithSlots(String name, int slots) {
    return new Instance(
        name,
        1,
        "plain",
        Endpoint.parse("10.0.0.1:80"),
        NEAR,
        slots,
        false,
        Set.of("base"),
        Map.of(),
        1);
  }

  static ServiceCatalogue catalogue(long version, double rate) {
    return new ServiceCatalogue(
        version, routes(), services(), RequestLimits.INITIAL, List.of(account(rate)));
  }

  static List<ServiceRoute> routes() {
    return List.of(
        route("read", "/read/", RequestKind.IDEMPOTENT, "plain", 2),
        route("book", "/book/", RequestKind.NON_IDEMPOTENT, "plain", 1),
        route("chat", "/chat/", RequestKind.RESUMABLE_STREAM, "engine", 2),
        route("talk", "/talk/", RequestKind.RESUMABLE_STREAM, "engine", 3),
        route("audit", "/audit/", RequestKind.STREAM, "engine", 1));
  }

  static List<ServiceDefinition> services() {
    return List.of(
        new ServiceDefinition("plain", 10, Optional.empty()),
        new ServiceDefinition(
            "engine", 10, Optional.of(new EngineProfile(8, 100_000, 4, 100, List.of()))));
  }

  static AccountLimits account(double rate) {
    return new AccountLimits(
        new ClientAccountName("account"), Set.of(KEY), OptionalInt.empty(), true, 100, rate, rate);
  }

  static Instance plain(String name) {
    return instance(name, "plain", false, 1, Map.of());
  }

  static Instance engine(String name) {
    return instance(name, "engine", false, 1, Map.of(ADAPTER, 1L));
  }

  static Instance instance(
      String name, String service, boolean draining, long number, Map<AdapterKey, Long> held) {
    return new Instance(
        name,
        1,
        service,
        Endpoint.parse("10.0.0.1:80"),
        NEAR,
        8,
        draining,
        Set.of("base"),
        held,
        number);
  }

  List<DispatchEffect> apply(DispatchEvent event) {
    Step<DispatchState, DispatchEffect> step = transition.apply(state, event, now);
    state = step.state();
    return step.effects();
  }

  /** Applies an event whose handling fails. */
  List<DispatchEffect> fail(DispatchEvent event) {
    FailureIsolation isolation =
        new FailureIsolation(
            (before, failing, time) -> {
              throw new IllegalStateException("defect");
            });
    Step<DispatchState, DispatchEffect> step = isolation.apply(state, event, now);
    state = step.state();
    return step.effects();
  }

  void announce(Instance... instances) {
    apply(new DispatchEvent.InstancesAnnounced(List.of(instances)));
  }

  void advance(Duration duration) {
    now = now.plus(duration);
  }

  /** Sets the clock. */
  DispatchFixture at(MonotonicTime time) {
    now = time;
    return this;
  }

  MonotonicTime now() {
    return now;
  }

  /** Takes away all retries that are left at a service. */
  void exhaustBudget(String service) {
    state = state.withBudget(service, RetryBudget.fresh(now));
  }

  /** Leaves one retry at a service. */
  void leaveOneRetry(String service) {
    state = state.withBudget(service, RetryBudget.fresh(now).refund());
  }

  /** Waits for a wake event that is among the effects, and returns it. */
  DispatchEvent.Wake awaitWake(List<DispatchEffect> effects) {
    DispatchEffect.WakeAfter wake = only(effects, DispatchEffect.WakeAfter.class);
    advance(wake.delay());
    return new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber());
  }

  /** Waits for a wake event that is among the effects, and returns what follows from it. */
  List<DispatchEffect> wake(List<DispatchEffect> effects) {
    return apply(awaitWake(effects));
  }

  DispatchState state() {
    return state;
  }

  List<DispatchEffect> receive(String path, Optional<ModelWork> work) {
    return receive(path, work, Duration.ofSeconds(5), key -> {});
  }

  /**
   * Receives a request.
   *
   * @param timeout how long its caller waits
   * @param keys receives the key of the request before its effects are returned
   */
  List<DispatchEffect> receive(
      String path, Optional<ModelWork> work, Duration timeout, LongConsumer keys) {
    keys.accept(++lastKey);
    return apply(
        new DispatchEvent.Received(
            new ServingRequest(
                lastKey,
                "request-" + lastKey,
                HOST,
                path,
                Optional.of(KEY),
                Optional.of(timeout),
                work)));
  }

  DispatchEffect.Send send(String path, Optional<ModelWork> work) {
    return only(receive(path, work), DispatchEffect.Send.class);
  }

  List<DispatchEffect> end(DispatchEffect.Send send, AttemptOutcome outcome, boolean started) {
    boolean buffered =
        !Set.of(AttemptOutcome.BROKEN, AttemptOutcome.NOT_SENT, AttemptOutcome.WITHDRAWN)
            .contains(outcome);
    return apply(
        new DispatchEvent.AttemptEnded(
            send.request().key(),
            send.attempt(),
            new AttemptResult(
                outcome, buffered ? 500 : 0, started, buffered, Optional.empty(), "test")));
  }

  /** Restricts a trait by what another host has seen, which speaks only against later answers. */
  List<DispatchEffect> restrict(Trait trait) {
    List<TraitReport.ReportedLoss> losses = new ArrayList<>();
    for (int loss = 0; loss < 3; loss++) {
      losses.add(new TraitReport.ReportedLoss(900 + loss, true, 1 + 301L * loss));
    }
    return apply(
        new DispatchEvent.QuarantineNews(
            "other", List.of(new TraitReport(trait, Optional.empty(), losses))));
  }

  /** Ends an attempt by the loss of its connection. */
  List<DispatchEffect> lose(DispatchEffect.Send send, ResponseStage stage) {
    return apply(
        new DispatchEvent.AttemptEnded(
            send.request().key(),
            send.attempt(),
            new AttemptResult(
                AttemptOutcome.BROKEN, 0, false, false, Optional.of(stage), "connection_closed")));
  }

  static Optional<ModelWork> work(AdapterKey adapter) {
    return Optional.of(new ModelWork(adapter, 100, 50, List.of(new PromptPart(7, 100))));
  }

  /** Returns work whose first part other requests have as well. */
  static Optional<ModelWork> sharedWork(long part) {
    return Optional.of(
        new ModelWork(ADAPTER, 100, 50, List.of(new PromptPart(part, 50), new PromptPart(8, 50))));
  }

  static <T> T only(List<DispatchEffect> effects, Class<T> type) {
    List<T> found = new ArrayList<>();
    effects.stream().filter(type::isInstance).map(type::cast).forEach(found::add);
    if (found.size() != 1) {
      throw new AssertionError("expected exactly one " + type.getSimpleName() + " in " + effects);
    }
    return found.get(0);
  }

  private static ServiceRoute route(
      String name, String prefix, RequestKind kind, String service, int attempts) {
    return new ServiceRoute(
        name,
        HOST,
        prefix,
        kind,
        Duration.ofSeconds(5),
        Duration.ofMillis(500),
        Duration.ofMillis(250),
        1,
        List.of(new WeightedService(service, 1)),
        attempts,
        false);
  }
}
