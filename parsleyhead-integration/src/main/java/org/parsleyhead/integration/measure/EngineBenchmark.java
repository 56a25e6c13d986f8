package org.parsleyhead.integration.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.engine.EngineEffect;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.engine.EngineReport;
import org.parsleyhead.core.engine.EvictionPolicy;
import org.parsleyhead.core.engine.OwnershipSettings;
import org.parsleyhead.core.engine.OwnershipState;
import org.parsleyhead.core.engine.OwnershipTransition;
import org.parsleyhead.core.engine.PinDemand;
import org.parsleyhead.core.engine.PinGrant;
import org.parsleyhead.core.engine.PinRequest;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.scheduling.ModelRequest;
import org.parsleyhead.core.scheduling.RequestOutcome;
import org.parsleyhead.core.scheduling.SchedulingEffect;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.core.scheduling.SchedulingSettings;
import org.parsleyhead.core.scheduling.SchedulingState;
import org.parsleyhead.core.scheduling.SchedulingTransition;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.UpstreamItem;

/**
 * Measures the cores of scheduling and engine ownership for a number of engines. Stateless and
 * thread-safe.
 */
final class EngineBenchmark {

  private static final HostName SELF = new HostName("host-1");
  private static final Incarnation INCARNATION = new Incarnation(1);
  private static final Sender OWNER = new Sender(SELF, INCARNATION);
  private static final ModelName BASE = new ModelName("base");
  private static final int SLOTS = 8;
  private static final int MAXIMUM_BATCH = 64;
  private static final int REQUESTS = 2_000;
  private static final int ADAPTERS = 1_000;
  private static final int TICKS = 50;
  private static final int ACCOUNTS = 5;
  private static final long SEED = 1;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(1);
  private static final Duration PIN_DURATION = Duration.ofSeconds(30);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

  private EngineBenchmark() {}

  /** Measures the scheduling core of one host. */
  static ReportRow measureScheduling(int engines) {
    List<UpstreamItem> upstreams = upstreams(engines);
    SchedulingSettings settings = SchedulingSettings.defaults();
    final long before = ResourceUsage.usedHeapBytes();
    TransitionRunner<SchedulingState, SchedulingEvent, SchedulingEffect> runner =
        new TransitionRunner<>(
            new SchedulingTransition(settings, SchedulingPolicy.adaptive(settings)),
            SchedulingState.initial(rightsSnapshot(), MonotonicTime.ORIGIN),
            MonotonicTime.ORIGIN);
    double changed =
        ResourceUsage.meanCpuMicroseconds(
            1, () -> runner.apply(new SchedulingEvent.UpstreamsChanged(upstreams)));
    final long bytes = ResourceUsage.usedHeapBytes() - before;
    final int adapters = Math.min(ADAPTERS, engines * SLOTS);
    serve(runner, REQUESTS / 4, 0, adapters);
    double request =
        ResourceUsage.meanCpuMicroseconds(
            REQUESTS, () -> serve(runner, REQUESTS, REQUESTS, adapters));
    double tick =
        ResourceUsage.meanCpuMicroseconds(
            TICKS,
            () -> {
              for (int count = 0; count < TICKS; count++) {
                runner.advanceTime(TICK_INTERVAL);
                runner.apply(new SchedulingEvent.Tick(count));
              }
            });
    return ReportRow.of("scheduling_by_engines")
        .with("engines", engines)
        .with("bytes_per_engine", (double) bytes / engines)
        .with("upstreams_changed_microseconds", changed)
        .with("request_microseconds", request)
        .with("tick_microseconds", tick)
        .with("ticks_percent_of_a_core", tick / TICK_INTERVAL.toNanos() * 1e5);
  }

  private static void serve(
      TransitionRunner<SchedulingState, SchedulingEvent, SchedulingEffect> runner,
      int count,
      int first,
      int adapters) {
    Random random = new Random(SEED);
    for (int index = 0; index < count; index++) {
      runner.advanceTime(REQUEST_INTERVAL);
      ModelRequest request = request(first + index, random.nextInt(adapters));
      List<SchedulingEffect> effects =
          new ArrayList<>(runner.apply(new SchedulingEvent.Submitted(request)));
      for (int next = 0; next < effects.size(); next++) {
        effects.addAll(respond(runner, effects.get(next)));
      }
    }
  }

  private static List<SchedulingEffect> respond(
      TransitionRunner<SchedulingState, SchedulingEvent, SchedulingEffect> runner,
      SchedulingEffect effect) {
    if (effect instanceof SchedulingEffect.Dispatch dispatch) {
      return runner.apply(
          new SchedulingEvent.Finished(
              dispatch.request().identifier(),
              RequestOutcome.COMPLETED,
              dispatch.request().expectedOutputTokens()));
    }
    if (effect instanceof SchedulingEffect.Send send && send.message() instanceof PinRequest pin) {
      List<AdapterReference> adapters = pin.demands().stream().map(PinDemand::adapter).toList();
      return runner.apply(
          new SchedulingEvent.MessageReceived(
              OWNER,
              new PinGrant(pin.engine(), INCARNATION, pin.number(), adapters, PIN_DURATION)));
    }
    return List.of();
  }

  private static ModelRequest request(int number, int adapter) {
    return new ModelRequest(
        new RequestIdentifier("request-" + number),
        BASE,
        AdapterReference.parse("adapter-" + adapter + "@1"),
        new ClientAccountName("account-" + number % ACCOUNTS),
        100,
        Priority.INTERACTIVE,
        100,
        100,
        OptionalLong.empty(),
        START_TIMEOUT,
        Set.of());
  }

  /** Measures the ownership core of a host without peers, which owns all engines. */
  static ReportRow measureOwnership(int engines) {
    final List<UpstreamItem> upstreams = upstreams(engines);
    final long before = ResourceUsage.usedHeapBytes();
    TransitionRunner<OwnershipState, EngineEvent, EngineEffect> runner =
        new TransitionRunner<>(
            new OwnershipTransition(
                OwnershipSettings.of(4, 8), EvictionPolicy.leastExpectedReuse()),
            OwnershipState.initial(rightsSnapshot(), MonotonicTime.ORIGIN),
            MonotonicTime.ORIGIN);
    final double changed =
        ResourceUsage.meanCpuMicroseconds(
            1, () -> runner.apply(new EngineEvent.UpstreamsChanged(upstreams)));
    runner.advanceTime(Duration.ofMinutes(1));
    runner.apply(new EngineEvent.Tick(0));
    report(runner, upstreams);
    final long bytes = ResourceUsage.usedHeapBytes() - before;
    double report = ResourceUsage.meanCpuMicroseconds(engines, () -> report(runner, upstreams));
    tick(runner);
    double tick = ResourceUsage.meanCpuMicroseconds(TICKS, () -> tick(runner));
    return ReportRow.of("ownership_by_engines")
        .with("engines", engines)
        .with("owned", runner.state().owned().size())
        .with("bytes_per_engine", (double) bytes / engines)
        .with("upstreams_changed_microseconds", changed)
        .with("report_microseconds", report)
        .with("tick_microseconds", tick)
        .with("ticks_percent_of_a_core", tick / TICK_INTERVAL.toNanos() * 1e5);
  }

  private static void tick(TransitionRunner<OwnershipState, EngineEvent, EngineEffect> runner) {
    for (int count = 0; count < TICKS; count++) {
      runner.advanceTime(TICK_INTERVAL);
      runner.apply(new EngineEvent.Tick(count));
    }
  }

  private static void report(
      TransitionRunner<OwnershipState, EngineEvent, EngineEffect> runner,
      List<UpstreamItem> upstreams) {
    for (UpstreamItem upstream : upstreams) {
      Set<AdapterReference> resident =
          Set.of(AdapterReference.parse("adapter-1@1"), AdapterReference.parse("adapter-2@1"));
      runner.apply(
          new EngineEvent.ReportReceived(
              new EngineReport(upstream.name(), runner.time(), 4, 0, resident, Set.of())));
    }
  }

  private static RightsSnapshot rightsSnapshot() {
    return new RightsSnapshot(
        SELF, INCARNATION, 1, new TreeSet<>(Set.of(SELF)), Map.of(), Map.of(), Map.of());
  }

  private static List<UpstreamItem> upstreams(int count) {
    List<UpstreamItem> upstreams = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      upstreams.add(
          new UpstreamItem(
              new UpstreamName("engine-" + index),
              Endpoint.parse("10.0.0.1:80"),
              new FailureDomainName("domain-" + index % 30),
              Optional.of(new UpstreamItem.Engine(BASE, SLOTS, MAXIMUM_BATCH, true)),
              false,
              false));
    }
    return upstreams;
  }
}
