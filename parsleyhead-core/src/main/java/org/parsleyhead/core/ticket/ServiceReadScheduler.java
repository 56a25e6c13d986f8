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
import org.parsleyhead.core.ticket.ServiceState.SnapshotProgress;
import org.parsleyhead.core.ticket.ServiceState.SnapshotStatus;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Decides which reads from the configuration service this host starts.
 *
 * <p>Stateless apart from its settings and thread-safe. A few hosts of each failure domain watch
 * the service; the other hosts read only while they start, or when no contact with the service was
 * reported to them for the contact timeout.
 */
final class ServiceReadScheduler {

  /** The rendezvous hashing key by which the watchers of a failure domain are selected. */
  private static final String WATCH_KEY = "configuration-watch";

  /** The maximum number of tickets that are read concurrently. */
  private static final int MAXIMUM_CONCURRENT_TICKETS = 8;

  /** The maximum number of concurrent reads of the parts of one ticket, or of the snapshot. */
  private static final int MAXIMUM_PART_READS = 2;

  /** The lag behind the latest ticket, in tickets, above which the snapshot is read again. */
  private static final int SNAPSHOT_LAG_TICKETS = 64;

  /** The number of consecutive failures after which the retry delay stops doubling. */
  private static final int MAXIMUM_COUNTED_FAILURES = 6;

  /** The time after which an unanswered read may be repeated, in addition to the watch timeout. */
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);

  private final ConfigurationSettings settings;

  ServiceReadScheduler(ConfigurationSettings settings) {
    this.settings = settings;
  }

  /** Starts the reads that are due. */
  ConfigurationState startReads(
      ConfigurationState state, MonotonicTime time, List<ConfigurationEffect> effects) {
    ServiceState service = withoutTimedOutReads(state.service(), time);
    if (!mayReadFromService(state, time)) {
      return state.withService(service);
    }
    service = requestSnapshotIfFarBehind(service, state.applied(), time);
    for (ServiceRead read : requiredReads(state.withService(service))) {
      if (service.mayStart(read, time)) {
        service = service.withStarted(read, time);
        effects.add(new ConfigurationEffect.Read(read));
      }
    }
    return state.withService(service);
  }

  /** Returns whether this host currently reads from the service. */
  boolean mayReadFromService(ConfigurationState state, MonotonicTime time) {
    boolean contactExpired =
        state.service().contactAge(time).compareTo(settings.contactTimeout()) > 0;
    return !state.ready() || contactExpired || isWatcher(state.peers());
  }

  /**
   * Records that a read failed or found no value, and schedules its retry with exponential backoff
   * and jitter.
   */
  ServiceState withFailure(
      ServiceState service, ServiceRead read, boolean absent, long seed, MonotonicTime time) {
    Retry previous = service.retries().get(read);
    int failures =
        previous == null ? 1 : Math.min(previous.failures() + 1, MAXIMUM_COUNTED_FAILURES);
    long delay = settings.retryDelay().toNanos() << (failures - 1);
    long jitter = Math.floorMod(RandomNumbers.derive(seed ^ read.hashCode(), 0), delay);
    Retry retry = new Retry(failures, time.plus(Duration.ofNanos(delay / 2 + jitter)), absent);
    ServiceState recorded = service.withRetry(read, retry);
    if (read instanceof ServiceRead.WatchLatest) {
      return recorded.withRevision(0);
    }
    if (read instanceof ServiceRead.SnapshotHead && absent) {
      return recorded.withSnapshot(recorded.snapshot().withStatus(SnapshotStatus.DONE));
    }
    if (read instanceof ServiceRead.SnapshotPart && absent) {
      return recorded
          .withCompleted(new ServiceRead.SnapshotHead())
          .withSnapshot(recorded.snapshot().withStatus(SnapshotStatus.NEEDED));
    }
    return recorded;
  }

  /** Records the head of the snapshot; its parts are read only if they contain newer tickets. */
  ServiceState withSnapshotHead(
      ServiceState service,
      AppliedTickets applied,
      ConfigurationEvent.SnapshotHeadRead head,
      MonotonicTime time) {
    boolean hasNewTickets = head.number().value() > applied.through();
    Retry nextRead = new Retry(0, time.plus(settings.contactTimeout()), false);
    return service
        .withRetry(new ServiceRead.SnapshotHead(), nextRead)
        .withSnapshot(
            new SnapshotProgress(
                hasNewTickets ? SnapshotStatus.READING : SnapshotStatus.DONE,
                head.number().value(),
                head.parts(),
                HashTreePMap.empty()));
  }

  private boolean isWatcher(PeerState peers) {
    List<HostName> candidates =
        peers.hostList().hosts().stream()
            .filter(host -> host.failureDomain().equals(settings.failureDomain()))
            .map(HostEntry::name)
            .filter(host -> host.equals(settings.self()) || peers.alive().contains(host))
            .toList();
    return Rendezvous.order(WATCH_KEY, candidates).stream()
        .limit(settings.watchersPerDomain())
        .anyMatch(settings.self()::equals);
  }

  private List<ServiceRead> requiredReads(ConfigurationState state) {
    ServiceState service = state.service();
    List<ServiceRead> reads = new ArrayList<>();
    if (!service.isWatching()) {
      reads.add(new ServiceRead.WatchLatest(service.revision(), settings.watchTimeout()));
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

  private static void addSnapshotParts(SnapshotProgress snapshot, List<ServiceRead> reads) {
    IntStream.rangeClosed(1, snapshot.parts())
        .filter(part -> !snapshot.read().containsKey(part))
        .limit(MAXIMUM_PART_READS)
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
    for (long number :
        state.applied().missing(state.service().latestTicketNumber(), MAXIMUM_CONCURRENT_TICKETS)) {
      Integer parts = state.service().partCounts().get(number);
      if (parts == null) {
        reads.add(new ServiceRead.TicketHead(new TicketNumber(number)));
      } else {
        addTicketParts(state.staging(), number, parts, reads);
      }
    }
  }

  private static void addTicketParts(
      TicketStaging staging, long number, int parts, List<ServiceRead> reads) {
    var staged = staging.tickets().get(number);
    IntStream.rangeClosed(1, parts)
        .filter(part -> staged == null || !staged.containsKey(part))
        .limit(MAXIMUM_PART_READS)
        .forEach(
            part -> reads.add(new ServiceRead.TicketPart(new TicketNumber(number), part, parts)));
  }

  /**
   * Requests the snapshot again if so many tickets are missing that it takes fewer reads than they
   * do.
   */
  private ServiceState requestSnapshotIfFarBehind(
      ServiceState service, AppliedTickets applied, MonotonicTime time) {
    boolean farBehind = service.latestTicketNumber() - applied.through() > SNAPSHOT_LAG_TICKETS;
    boolean mayRead = service.mayStart(new ServiceRead.SnapshotHead(), time);
    if (!farBehind || !mayRead || service.snapshot().status() != SnapshotStatus.DONE) {
      return service;
    }
    return service.withSnapshot(service.snapshot().withStatus(SnapshotStatus.NEEDED));
  }

  private ServiceState withoutTimedOutReads(ServiceState service, MonotonicTime time) {
    Duration timeout = READ_TIMEOUT.plus(settings.watchTimeout());
    PMap<ServiceRead, MonotonicTime> remaining = service.outstanding();
    for (var entry : service.outstanding().entrySet()) {
      if (time.since(entry.getValue()).compareTo(timeout) > 0) {
        remaining = remaining.minus(entry.getKey());
      }
    }
    return service.withReads(remaining, service.retries());
  }
}
