package org.parsleyhead.gateway.process;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.parsleyhead.codec.peer.FleetMessageTypes;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.DispatchSettings;
import org.parsleyhead.core.dispatch.DispatchState;
import org.parsleyhead.core.dispatch.DispatchTransition;
import org.parsleyhead.core.dispatch.FailureIsolation;
import org.parsleyhead.core.dispatch.ServiceCondition;
import org.parsleyhead.core.fleet.FleetEffect;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.fleet.FleetSettings;
import org.parsleyhead.core.fleet.FleetState;
import org.parsleyhead.core.fleet.FleetTransition;
import org.parsleyhead.core.overload.SpreadRetryAfter;
import org.parsleyhead.core.overload.WaitPolicy;
import org.parsleyhead.core.placement.PlacementSettings;
import org.parsleyhead.core.publication.PublicationEffect;
import org.parsleyhead.core.publication.PublicationEvent;
import org.parsleyhead.core.publication.PublicationSettings;
import org.parsleyhead.core.publication.PublicationState;
import org.parsleyhead.core.publication.PublicationTransition;
import org.parsleyhead.core.quarantine.TrialRight;
import org.parsleyhead.gateway.callers.CallerServer;
import org.parsleyhead.gateway.peers.PeerSockets;
import org.parsleyhead.gateway.upstreams.UpstreamClient;
import org.parsleyhead.runtime.command.ExitStatus;
import org.parsleyhead.runtime.command.Service;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.duty.SuspensionAwareClock;
import org.parsleyhead.runtime.log.EventLog;

/**
 * A running gateway host: three duties, their rings, and one event loop for all sockets.
 *
 * <p>Thread-safe. A planned stop first reports the host as not ready, continues to serve until the
 * load balancer has detected this, and closes each connection once all of its requests are
 * answered.
 */
public final class GatewayProcess implements Service {

  private static final EventLog LOG = new EventLog("gateway");

  /** Holds the requests and responses of several seconds of full load. */
  private static final int DISPATCH_RING_CAPACITY = 8_192;

  private static final int FLEET_RING_CAPACITY = 4_096;
  private static final int PUBLICATION_RING_CAPACITY = 2_048;
  private static final Duration DISPATCH_TICK_INTERVAL = Duration.ofMillis(1_000);
  private static final Duration FLEET_TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration PUBLICATION_TICK_INTERVAL = Duration.ofMillis(200);

  /** Several heartbeats fit into the time for which a rate bucket may exceed its limit. */
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);

  /** The heartbeat interval to silent hosts, and between the hosts of a large fleet. */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

  /** Covers two lost heartbeats in a large fleet. */
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_200);

  /** Longer than the network partitions that occur in the deployments. */
  private static final Duration HOST_REMOVAL_TIMEOUT = Duration.ofSeconds(20);

  /** Covers three heartbeats in a large fleet. */
  private static final Duration LEASE_DURATION = Duration.ofMillis(1_500);

  /** Servers answer orders within milliseconds; after this time the answer is considered lost. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(400);

  /** Reports describe a state that is several hundred milliseconds old. */
  private static final Duration MAXIMUM_REPORT_LAG = Duration.ofMillis(500);

  /** Added to the lease gap for orders that are in transit. */
  private static final Duration LEASE_GAP_MARGIN = Duration.ofMillis(300);

  /** The part of the time until its deadline for which a request may wait for a new owner. */
  private static final double MAXIMUM_WAIT_FRACTION = 0.7;

  private final GatewaySettings settings;
  private final EventLoopGroup eventLoops;
  private final MonotonicClock clock = SuspensionAwareClock.ofProcess();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final Duty<DispatchState, DispatchEvent, DispatchEffect> dispatch;
  private final Duty<FleetState, FleetEvent, FleetEffect> fleet;
  private final Duty<PublicationState, PublicationEvent, PublicationEffect> publication;
  private final EventSender<DispatchEvent> dispatchEvents;
  private final EventSender<FleetEvent> fleetEvents;
  private final CallerServer callers;
  private final PeerSockets peers;

  private GatewayProcess(GatewaySettings settings, PlatformAdapter.Factory platforms) {
    this.settings = settings;
    this.eventLoops =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("sockets", true), NioIoHandler.newFactory());
    final PlatformAdapter platform = platforms.create(settings);
    final Ring<DispatchEvent> dispatchRing = new Ring<>("dispatch", DISPATCH_RING_CAPACITY);
    final Ring<FleetEvent> fleetRing = new Ring<>("fleet", FLEET_RING_CAPACITY);
    final Ring<PublicationEvent> publicationRing =
        new Ring<>("publication", PUBLICATION_RING_CAPACITY);
    final MonotonicTime now = clock.now();
    String self = settings.peersEndpoint().toString();
    final long incarnation = ThreadLocalRandom.current().nextLong() & Long.MAX_VALUE;
    this.peers =
        new PeerSockets(
            new Sender(new HostName(self), new Incarnation(incarnation)),
            new PeerMessageCodec(FleetMessageTypes.TYPES),
            eventLoops,
            new PeerReceiver(fleetRing, publicationRing, dispatchRing));
    EventLoop eventLoop = eventLoops.next();
    this.dispatchEvents = new EventSender<>(dispatchRing, eventLoop);
    this.fleetEvents = new EventSender<>(fleetRing, eventLoop);
    UpstreamClient upstreams =
        new UpstreamClient(platform.dialect(), dispatchEvents::send, eventLoops);
    DispatchEffectExecutor dispatchExecutor =
        new DispatchEffectExecutor(
            eventLoop, platform.dialect(), upstreams, dispatchEvents, fleetRing, metrics);
    this.dispatch =
        new Duty<>(
            dispatchRing,
            DispatchState.initial(now),
            new FailureIsolation(new DispatchTransition(dispatchSettings(settings))),
            dispatchExecutor,
            DispatchEvent.Tick::new,
            DISPATCH_TICK_INTERVAL,
            clock,
            failure -> dutyFailed("dispatch", failure));
    FleetSettings fleetSettings = fleetSettings(settings, self, incarnation);
    this.publication =
        new Duty<>(
            publicationRing,
            PublicationState.initial(now),
            new PublicationTransition(
                PublicationSettings.DEFAULT, new DecodedItemVersions(platform.decoder())),
            new PublicationEffectExecutor(
                self,
                platform.source(),
                platform.decoder(),
                peers,
                publicationRing,
                dispatchEvents,
                fleetEvents,
                metrics),
            PublicationEvent.Tick::new,
            PUBLICATION_TICK_INTERVAL,
            clock,
            failure -> dutyFailed("publication", failure));
    this.fleet =
        new Duty<>(
            fleetRing,
            FleetState.initial(fleetSettings, settings.firstStart(), now),
            new FleetTransition(fleetSettings),
            new FleetEffectExecutor(
                peers,
                platform.engines(),
                fleetRing,
                dispatchRing,
                publicationRing,
                clock,
                metrics),
            this::fleetTick,
            FLEET_TICK_INTERVAL,
            clock,
            failure -> dutyFailed("fleet", failure));
    this.callers =
        new CallerServer(
            platform.dialect(),
            dispatchExecutor,
            () -> dispatch.state().catalogue().limits(),
            eventLoops);
    metrics.registerRing(dispatchRing);
    metrics.registerRing(fleetRing);
    metrics.registerRing(publicationRing);
    metrics.registerGauges(
        () -> dispatch.state().activeRequests(),
        () -> fleet.state().liveHosts().size(),
        () -> dispatch.state().catalogue().version());
    metrics.registerServerConditions(() -> ServiceCondition.of(dispatch.state(), clock.now()));
    metrics.registerWaiting(priorities -> dispatch.state().waiting().ages(priorities, clock.now()));
    metrics.registerConnections(upstreams::openedConnections);
    metrics.registerPlacementGauges(
        () -> dispatch.state().placement().evacuated().size(),
        () -> dispatch.state().placement().cold().count(clock.now()),
        () -> dispatch.state().placement().cold().sends());
    metrics.registerPublicationGauges(
        () -> publication.state().era(),
        () -> publication.state().revision(),
        () -> clock.now().since(publication.state().answeredAt()));
  }

  /** Starts a host and returns once its ports are open. */
  public static GatewayProcess start(GatewaySettings settings, PlatformAdapter.Factory platforms) {
    GatewayProcess process = new GatewayProcess(settings, platforms);
    process.open();
    return process;
  }

  @Override
  public ExitStatus stop() {
    LOG.info("stopping", "active_requests", dispatch.state().activeRequests());
    final MonotonicTime signalAt = clock.now();
    stopping.set(true);
    fleetEvents.send(new FleetEvent.Leaving());
    final int unanswered =
        new PlannedStop(
                clock,
                this::parkUntil,
                plan -> dispatchEvents.send(new DispatchEvent.Stopping(plan)),
                callers::closeIdle,
                callers::closePort,
                callers::unansweredRequests)
            .run(settings.stopTimeout());
    dispatch.close();
    fleet.close();
    publication.close();
    UnansweredReport.of(dispatch.state().activeSummaries(), signalAt, clock.now())
        .forEach(event -> LOG.warning("unanswered", event));
    LOG.info("stopped", "unanswered", unanswered);
    return unanswered == 0 ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
  }

  private void open() {
    final QuarantinePages quarantinePages =
        new QuarantinePages(
            () -> dispatch.state().quarantine().restricted(clock.now()),
            trait -> dispatch.ring().offer(new DispatchEvent.RestrictionLifted(trait)));
    publication.start();
    dispatch.start();
    fleet.start();
    peers.open(settings.peersEndpoint());
    callers.open(settings.callersEndpoint());
    StatusPageServer.open(settings.readinessEndpoint(), eventLoops, (method, path) -> readiness());
    settings
        .metricsEndpoint()
        .ifPresent(
            endpoint ->
                StatusPageServer.open(
                    endpoint,
                    eventLoops,
                    (method, path) ->
                        quarantinePages
                            .page(method, path)
                            .orElseGet(() -> new StatusPageServer.Page(true, metrics.render()))));
    LOG.info(
        "started",
        "host",
        settings.host(),
        "callers",
        settings.callersEndpoint(),
        "peers",
        settings.peersEndpoint(),
        "first_start",
        settings.firstStart());
  }

  private StatusPageServer.Page readiness() {
    if (stopping.get()) {
      return new StatusPageServer.Page(false, "stopping");
    }
    if (!dispatch.state().catalogue().known() || !publication.state().initialized()) {
      return new StatusPageServer.Page(false, "catalogue_unknown");
    }
    return new StatusPageServer.Page(true, "ready");
  }

  private FleetEvent fleetTick() {
    DispatchState state = dispatch.state();
    PublicationState published = publication.state();
    return new FleetEvent.Tick(
        System.currentTimeMillis(),
        published.era(),
        published.revision(),
        state.admittedUnits(),
        state.sentLoads(),
        state.adapterUse());
  }

  private void dutyFailed(String duty, Throwable failure) {
    metrics.dutyFailed(duty);
    LOG.failure("duty_failed", failure, "duty", duty);
  }

  private void parkUntil(MonotonicTime until) {
    MonotonicTime now = clock.now();
    while (now.isBefore(until)) {
      LockSupport.parkNanos(until.since(now).toNanos());
      now = clock.now();
    }
  }

  private static DispatchSettings dispatchSettings(GatewaySettings settings) {
    return new DispatchSettings(
        settings.failureDomain(),
        settings.prefillTokensPerMillisecond(),
        settings.coldLoadDuration(),
        settings.warmLoadDuration(),
        settings.removalGrace(),
        settings.retryRatio(),
        settings.retryBurst(),
        settings.retryWindow(),
        settings.allowanceTolerance(),
        settings.allowanceSlack(),
        new SpreadRetryAfter(),
        WaitPolicy.upToFraction(MAXIMUM_WAIT_FRACTION),
        TrialRight.inTurn(settings.peersEndpoint().toString()),
        placementSettings(settings));
  }

  private static PlacementSettings placementSettings(GatewaySettings settings) {
    String self = settings.peersEndpoint().toString();
    return new PlacementSettings(
        self, settings.seeds().stream().anyMatch(seed -> !seed.equals(self)), settings.regions());
  }

  private static FleetSettings fleetSettings(
      GatewaySettings settings, String self, long incarnation) {
    return new FleetSettings(
        self,
        incarnation,
        settings.capacityPercent(),
        settings.seeds(),
        HEARTBEAT_INTERVAL,
        PROBE_INTERVAL,
        HEARTBEAT_TIMEOUT,
        HOST_REMOVAL_TIMEOUT,
        LEASE_DURATION,
        settings.leaseGap().plus(LEASE_GAP_MARGIN),
        settings.coldLoadDuration(),
        settings.warmLoadDuration(),
        ORDER_TIMEOUT,
        MAXIMUM_REPORT_LAG);
  }
}
