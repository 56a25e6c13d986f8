package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.RandomNumbers;
import org.parsleyhead.core.ticket.ServiceState.Retry;
import org.parsleyhead.core.ticket.ServiceState.SnapshotReading;
import org.parsleyhead.core.ticket.ServiceState.SnapshotStatus;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Decides which calls to the configuration service this host makes.
 *
 * <p>Stateless apart from its settings and thread-safe. A few hosts of each failure domain watch;
 * the others call only when they start or when nobody has told them of an answer for some time.
 */
final class ServiceReading {

  private static final String WATCH_KEY = "configuration-watch";
  private static final int MAXIMUM_READS = 8;
  private static final int MAXIMUM_SNAPSHOT_READS = 2;
  private static final int SNAPSHOT_DISTANCE = 64;
  private static final int MAXIMUM_DOUBLINGS = 6;
  private static final Duration READ_LIMIT = Duration.ofSeconds(30);

  private final ConfigurationSettings settings;

  ServiceReading(ConfigurationSettings settings) {
    this.settings = settings;
  }

  /** Starts the calls that are due. */
  ConfigurationState startReads(
      ConfigurationState state, MonotonicTime time, List<ConfigurationEffect> effects) {
    ServiceState service = withoutOverdue(state.service(), time);
    if (!asksService(state, time)) {
      return state.withService(service);
    }
    service = renewSnapshot(service, state.applied(), time);
    for (ServiceRead read : wanted(state.withService(service))) {
      if (service.mayStart(read, time)) {
        service = service.started(read, time);
        effects.add(new ConfigurationEffect.Read(read));
      }
    }
    return state.withService(service);
  }

  /** Tells whether this host is one of those that call the service now. */
  boolean asksService(ConfigurationState state, MonotonicTime time) {
    boolean silent = state.service().contactAge(time).compareTo(settings.silenceLimit()) > 0;
    return !state.ready() || silent || isWatcher(state.peers());
  }

  /** Notes that a call failed or found nothing, and when it may be repeated. */
  ServiceState failed(
      ServiceState service, ServiceRead read, boolean absent, long seed, MonotonicTime time) {
    Retry former = service.retries().get(read);
    int failures = former == null ? 1 : Math.min(former.failures() + 1, MAXIMUM_DOUBLINGS);
    long delay = settings.retryDelay().toNanos() << (failures - 1);
    long jitter = Math.floorMod(RandomNumbers.derive(seed ^ read.hashCode(), 0), delay);
    Retry retry = new Retry(failures, time.plus(Duration.ofNanos(delay / 2 + jitter)), absent);
    ServiceState noted = service.retried(read, retry);
    if (read instanceof ServiceRead.WatchLatest) {
      return noted.withRevision(0);
    }
    if (read instanceof ServiceRead.SnapshotHead && absent) {
      return noted.withSnapshot(noted.snapshot().withStatus(SnapshotStatus.DONE));
    }
    if (read instanceof ServiceRead.SnapshotPart && absent) {
      return noted
          .ended(new ServiceRead.SnapshotHead())
          .withSnapshot(noted.snapshot().withStatus(SnapshotStatus.NEEDED));
    }
    return noted;
  }

  /** Takes up the head of the snapshot; its parts are read only if they bring news. */
  ServiceState snapshotHead(
      ServiceState service,
      AppliedTickets applied,
      ConfigurationEvent.SnapshotHeadRead head,
      MonotonicTime time) {
    boolean brings = head.number().value() > applied.through();
    Retry rest = new Retry(0, time.plus(settings.silenceLimit()), false);
    return service
        .retried(new ServiceRead.SnapshotHead(), rest)
        .withSnapshot(
            new SnapshotReading(
                brings ? SnapshotStatus.READING : SnapshotStatus.DONE,
                head.number().value(),
                head.parts(),
                HashTreePMap.empty()));
  }

  private boolean isWatcher(PeerState peers) {
    List<HostName> candidates =
        peers.list().hosts().stream()
            .filter(host -> host.failureDomain().equals(settings.failureDomain()))
            .map(HostEntry::name)
            .filter(host -> host.equals(settings.self()) || peers.alive().contains(host))
            .toList();
    return Rendezvous.order(WATCH_KEY, candidates).stream()
        .limit(settings.watchersPerDomain())
        .anyMatch(settings.self()::equals);
  }

  private List<ServiceRead> wanted(ConfigurationState state) {
    ServiceState service = state.service();
    List<ServiceRead> reads = new ArrayList<>();
    if (!service.isWatching()) {
      reads.add(new ServiceRead.WatchLatest(service.revision(), settings.watchPatience()));
    }
    if (service.snapshot().status() == SnapshotStatus.NEEDED) {
      reads.add(new ServiceRead.SnapshotHead());
    }
    if (service.snapshot().status() == SnapshotStatus.READING) {
      addSnapshotParts(service.snapshot(), reads);
    }
    if (!isWaitingForSnapshot(service)) {
      addTickets(state, reads);
    }
    return reads;
  }

  private static void addSnapshotParts(SnapshotReading snapshot, List<ServiceRead> reads) {
    IntStream.rangeClosed(1, snapshot.parts())
        .filter(part -> !snapshot.read().containsKey(part))
        .limit(MAXIMUM_SNAPSHOT_READS)
        .forEach(
            part ->
                reads.add(new ServiceRead.SnapshotPart(new TicketNumber(snapshot.number()), part)));
  }

  private static boolean isWaitingForSnapshot(ServiceState service) {
    SnapshotStatus status = service.snapshot().status();
    boolean failed = service.retries().containsKey(new ServiceRead.SnapshotHead());
    return status == SnapshotStatus.READING || (status == SnapshotStatus.NEEDED && !failed);
  }

  private static void addTickets(ConfigurationState state, List<ServiceRead> reads) {
    for (long number : state.applied().missing(state.service().latest(), MAXIMUM_READS)) {
      Integer parts = state.service().splits().get(number);
      if (parts == null) {
        reads.add(new ServiceRead.TicketHead(new TicketNumber(number)));
      } else {
        addParts(state.staging(), number, parts, reads);
      }
    }
  }

  private static void addParts(
      TicketStaging staging, long number, int parts, List<ServiceRead> reads) {
    var staged = staging.tickets().get(number);
    IntStream.rangeClosed(1, parts)
        .filter(part -> staged == null || !staged.containsKey(part))
        .limit(MAXIMUM_SNAPSHOT_READS)
        .forEach(
            part -> reads.add(new ServiceRead.TicketPart(new TicketNumber(number), part, parts)));
  }

  /** Asks for the snapshot again when so many tickets are missing that it is the shorter way. */
  private ServiceState renewSnapshot(
      ServiceState service, AppliedTickets applied, MonotonicTime time) {
    boolean far = service.latest() - applied.through() > SNAPSHOT_DISTANCE;
    boolean rested = service.mayStart(new ServiceRead.SnapshotHead(), time);
    if (!far || !rested || service.snapshot().status() != SnapshotStatus.DONE) {
      return service;
    }
    return service.withSnapshot(service.snapshot().withStatus(SnapshotStatus.NEEDED));
  }

  private ServiceState withoutOverdue(ServiceState service, MonotonicTime time) {
    Duration limit = READ_LIMIT.plus(settings.watchPatience());
    PMap<ServiceRead, MonotonicTime> remaining = service.outstanding();
    for (var entry : service.outstanding().entrySet()) {
      if (time.since(entry.getValue()).compareTo(limit) > 0) {
        remaining = remaining.minus(entry.getKey());
      }
    }
    return service.withReads(remaining, service.retries());
  }
}
