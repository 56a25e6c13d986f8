package org.parsleyhead.entry.process;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.parsleyhead.codec.openai.CompletionRequestParser;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.entry.callers.CallerServer;
import org.parsleyhead.entry.configuration.ControlPlane;
import org.parsleyhead.entry.configuration.ControlPlaneSettings;
import org.parsleyhead.entry.upstream.EngineClient;
import org.parsleyhead.entry.upstream.UpstreamClient;
import org.parsleyhead.runtime.administration.AdministrationServer;
import org.parsleyhead.runtime.administration.Readiness;
import org.parsleyhead.runtime.administration.StandardPages;
import org.parsleyhead.runtime.administration.TicketStatus;
import org.parsleyhead.runtime.audit.AuditDuty;
import org.parsleyhead.runtime.audit.AuditEntry;
import org.parsleyhead.runtime.audit.AuditTrail;
import org.parsleyhead.runtime.command.ExitStatus;
import org.parsleyhead.runtime.command.Service;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.log.EventLog;
import org.parsleyhead.runtime.metrics.Metrics;

/**
 * A running entry host: its duties, their rings and the sockets around them.
 *
 * <p>A planned stop first marks the host not ready, then waits until the active requests have
 * completed or the stop timeout has elapsed, and then closes all components.
 *
 * <p>Thread-safe.
 */
public final class EntryProcess implements Service {

  private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(50);
  private static final Duration READINESS_PROPAGATION_DELAY = Duration.ofSeconds(2);
  private static final Duration SHARE_WAIT_TIMEOUT = Duration.ofMinutes(1);
  private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(3);
  private static final int ACCEPTOR_THREADS = 1;
  private static final String NO_SOURCE = "nobody";

  private final EntrySettings settings;
  private final Sender self;
  private final EventLog log = new EventLog("entry");
  private final Metrics metrics = new Metrics(new MetricRegistry());
  private final MonotonicClock clock = MonotonicClock.SYSTEM;
  private final MonotonicTime started = clock.now();
  private final LongSupplier random = () -> ThreadLocalRandom.current().nextLong();
  private final Rings rings;
  private final ExchangeRegistry exchanges;
  private final AuditDuty audit;
  private final EntryDuties duties;
  private final EventLoopGroup acceptors;
  private final EventLoopGroup workers;
  private final UpstreamClient upstreams;
  private final EngineClient engines;
  private final CountDownLatch released = new CountDownLatch(1);
  private final ControlPlane control;
  private final CallerServer callers;
  private final AdministrationServer administration;

  private EntryProcess(EntrySettings settings) {
    this.settings = settings;
    this.self = new Sender(settings.host(), new Incarnation(random.getAsLong() & Long.MAX_VALUE));
    this.rings = Rings.create(settings.requests().maximumActiveRequests());
    rings.register(metrics);
    metrics.registerProcess();
    this.exchanges =
        new ExchangeRegistry(
            self, rings.request(), this::connectionFailed, clock, this::requestEnded);
    this.audit = new AuditDuty(clock, log);
    metrics.registerRing(audit.ring());
    this.acceptors = eventLoops(ACCEPTOR_THREADS, "acceptor");
    this.workers = eventLoops(settings.workerThreads(), "worker");
    this.upstreams =
        new UpstreamClient(
            settings.host(),
            settings.upstreams(),
            settings.workerThreads(),
            clock,
            rings.request()::offer);
    this.engines = new EngineClient(this::catalogue, clock, rings.ownership()::offer);
    PeerRouter router = new PeerRouter(self, rings, this::sendToPeer);
    RequestEffectExecutor requestEffects =
        new RequestEffectExecutor(
            exchanges, upstreams, RequestWiring.ports(rings, random), metrics);
    ControlPlaneSettings controlSettings =
        ControlPlaneSettings.of(
            self,
            settings.peerEndpoint(),
            settings.failureDomain(),
            settings.configurationService(),
            settings.hostListService(),
            settings.attestationDuration());
    this.duties =
        new EntryDuties(
            settings,
            controlSettings.membership(),
            new DutyDependencies(rings, router, requestEffects, engines),
            clock,
            random,
            log,
            this::dutyFailed);
    this.control =
        ControlPlane.start(
            controlSettings,
            PeerMessages.codec(),
            ControlPlaneListenerFactory.create(
                rings,
                duties.barrier(),
                new CatalogueDistribution(rings, audit::record, log),
                released::countDown,
                router::receive),
            clock,
            random);
    this.callers =
        new CallerServer(
            settings.callers(),
            new CompletionRequestParser(
                settings.tokens().bytesPerPromptToken(), settings.tokens().defaultMaximumTokens()),
            exchanges,
            acceptors,
            workers);
    metrics.gauge(EntryMetrics.ACTIVE_REQUESTS, duties::activeRequests);
    metrics.gauge(EntryMetrics.PEER_BYTES_SENT, () -> control.transport().statistics().bytesOut());
    metrics.gauge(
        EntryMetrics.PEER_BYTES_RECEIVED, () -> control.transport().statistics().bytesIn());
    this.administration =
        AdministrationServer.start(
            settings.administrationEndpoint(),
            List.of(
                StandardPages.metrics(metrics::render),
                StandardPages.live(),
                StandardPages.ready(this::readiness),
                StandardPages.tickets(this::ticketStatus),
                StandardPages.audit(audit::trail)),
            log);
  }

  /** Starts an entry host; returns once its ports are open. */
  public static EntryProcess start(EntrySettings settings) {
    EntryProcess process = new EntryProcess(settings);
    process.audit.start();
    process.duties.start();
    process.callers.start();
    process.log.info(
        "started",
        "host",
        process.self.host(),
        "incarnation",
        process.self.incarnation(),
        "callers",
        settings.callers().endpoint(),
        "peers",
        settings.peerEndpoint(),
        "administration",
        settings.administrationEndpoint());
    return process;
  }

  @Override
  public ExitStatus stop() {
    log.info("stopping", "active_requests", duties.activeRequests());
    final boolean drained = drain();
    callers.close();
    control.requestStop();
    awaitReleased();
    control.close();
    duties.close();
    upstreams.close();
    engines.close();
    administration.close();
    audit.close();
    acceptors.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    workers.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    log.info("stopped", "drained", drained);
    return drained ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
  }

  /**
   * Marks this host not ready and waits until no request is active or the stop timeout has elapsed,
   * but at least for the readiness propagation delay.
   *
   * @return whether no request is active
   */
  private boolean drain() {
    exchanges.stop();
    MonotonicTime deadline = clock.now().plus(settings.stopTimeout());
    MonotonicTime earliestEnd = clock.now().plus(READINESS_PROPAGATION_DELAY);
    while (clock.now().isBefore(earliestEnd)
        || exchanges.size() > 0 && clock.now().isBefore(deadline)) {
      LockSupport.parkNanos(DRAIN_CHECK_INTERVAL.toNanos());
    }
    return exchanges.size() == 0;
  }

  private Catalogue catalogue() {
    return duties.catalogue();
  }

  private boolean sendToPeer(HostName host, PeerMessage message) {
    return control.transport().send(host, message);
  }

  private Readiness readiness() {
    if (exchanges.isStopping()) {
      return Readiness.notReady("stopping");
    }
    if (!control.configuration().ready()) {
      return Readiness.notReady("configuration_unknown");
    }
    if (control.membership().hostList().find(settings.host()).isEmpty()) {
      return Readiness.notReady("host_not_listed");
    }
    MonotonicTime now = clock.now();
    boolean awaitingShare = now.since(started).compareTo(SHARE_WAIT_TIMEOUT) < 0;
    return awaitingShare && !duties.hasShare(now)
        ? Readiness.notReady("no_share_of_limits")
        : Readiness.READY;
  }

  private void awaitReleased() {
    try {
      if (!released.await(RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
        log.warning("rights_not_released");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private TicketStatus ticketStatus() {
    Catalogue catalogue = control.configuration().catalogue();
    return new TicketStatus(
        self.host(),
        new TicketNumber(control.configuration().mergedThrough()),
        catalogue.highestTicketNumber(),
        catalogue.items().size(),
        Long.toHexString(catalogue.digests().root()),
        lastChangeSource());
  }

  private String lastChangeSource() {
    AuditTrail trail = audit.trail();
    return trail.since(trail.lastSequence() - 1).stream()
        .map(AuditEntry::source)
        .findFirst()
        .orElse(NO_SOURCE);
  }

  private void dutyFailed(String duty, Throwable failure) {
    metrics.counter(EntryMetrics.DUTY_FAILURES.with("duty", duty)).inc();
    log.failure("duty_failed", failure, "duty", duty);
  }

  private void requestEnded(Duration duration) {
    metrics.timer(EntryMetrics.REQUEST_TIME).update(duration);
  }

  private void connectionFailed(Throwable cause) {
    log.failure("connection_failed", cause);
  }

  private static EventLoopGroup eventLoops(int threads, String name) {
    return new MultiThreadIoEventLoopGroup(
        threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }
}
