package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What one host has read from the configuration service, and the state of its reads.
 *
 * <p>Immutable and thread-safe.
 *
 * @param lastContactAt the time at which the service last answered this host, or another host that
 *     reported it
 * @param revision the latest known revision, from which the next watch continues
 * @param latestTicketNumber the highest ticket number that the service returned
 * @param latestKnown whether the service has returned the number of the latest ticket
 * @param outstanding the reads in progress, with their start times
 * @param retries the reads that failed or found no value, and reads that are delayed
 * @param partCounts the number of parts of each ticket that has several parts
 * @param snapshot the progress of reading the snapshot
 */
record ServiceState(
    Optional<MonotonicTime> lastContactAt,
    long revision,
    long latestTicketNumber,
    boolean latestKnown,
    PMap<ServiceRead, MonotonicTime> outstanding,
    PMap<ServiceRead, Retry> retries,
    PMap<Long, Integer> partCounts,
    SnapshotProgress snapshot) {

  static final ServiceState INITIAL =
      new ServiceState(
          Optional.empty(),
          0,
          0,
          false,
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          new SnapshotProgress(SnapshotStatus.NEEDED, 0, 0, HashTreePMap.empty()));

  ServiceState withContact(MonotonicTime time) {
    boolean newer = lastContactAt.isEmpty() || lastContactAt.get().isBefore(time);
    return new ServiceState(
        newer ? Optional.of(time) : lastContactAt,
        revision,
        latestTicketNumber,
        latestKnown,
        outstanding,
        retries,
        partCounts,
        snapshot);
  }

  ServiceState withLatest(long newRevision, long number) {
    return new ServiceState(
        lastContactAt,
        newRevision,
        Math.max(latestTicketNumber, number),
        true,
        outstanding,
        retries,
        partCounts,
        snapshot);
  }

  ServiceState withRevision(long newRevision) {
    return new ServiceState(
        lastContactAt,
        newRevision,
        latestTicketNumber,
        latestKnown,
        outstanding,
        retries,
        partCounts,
        snapshot);
  }

  ServiceState withStarted(ServiceRead read, MonotonicTime time) {
    return withReads(outstanding.plus(read, time), retries);
  }

  ServiceState withCompleted(ServiceRead read) {
    return withReads(outstanding.minus(read), retries.minus(read));
  }

  ServiceState withRetry(ServiceRead read, Retry retry) {
    return withReads(outstanding.minus(read), retries.plus(read, retry));
  }

  ServiceState withReads(
      PMap<ServiceRead, MonotonicTime> inProgress, PMap<ServiceRead, Retry> failed) {
    return new ServiceState(
        lastContactAt,
        revision,
        latestTicketNumber,
        latestKnown,
        inProgress,
        failed,
        partCounts,
        snapshot);
  }

  ServiceState withPartCounts(PMap<Long, Integer> parts) {
    return new ServiceState(
        lastContactAt,
        revision,
        latestTicketNumber,
        latestKnown,
        outstanding,
        retries,
        parts,
        snapshot);
  }

  ServiceState withSnapshot(SnapshotProgress progress) {
    return new ServiceState(
        lastContactAt,
        revision,
        latestTicketNumber,
        latestKnown,
        outstanding,
        retries,
        partCounts,
        progress);
  }

  boolean isWatching() {
    return outstanding.keySet().stream().anyMatch(ServiceRead.WatchLatest.class::isInstance);
  }

  boolean mayStart(ServiceRead read, MonotonicTime time) {
    Retry retry = retries.get(read);
    return !outstanding.containsKey(read) && (retry == null || !time.isBefore(retry.notBefore()));
  }

  /** Returns whether the service reported the value of a read as absent. */
  boolean isAbsent(ServiceRead read) {
    Retry retry = retries.get(read);
    return retry != null && retry.absent();
  }

  /** Returns the age of the last contact with the service, direct or reported by another host. */
  Duration contactAge(MonotonicTime time) {
    return lastContactAt.map(time::since).orElse(ConfigurationSummary.MAXIMUM_AGE);
  }

  /**
   * The retry state of a read that failed, found no value or is delayed.
   *
   * @param failures the number of consecutive failures, up to a maximum
   * @param notBefore the earliest time of the next attempt
   * @param absent whether the service reported the value as absent
   */
  record Retry(int failures, MonotonicTime notBefore, boolean absent) {}

  /** The progress of reading the snapshot. */
  enum SnapshotStatus {
    /** The head of the snapshot has to be read. */
    NEEDED,
    /** The parts of the snapshot are being read. */
    READING,
    /** The snapshot was read, or none is needed. */
    DONE
  }

  /**
   * The progress of reading the published snapshot.
   *
   * @param status the current status
   * @param number the number of the snapshot
   * @param parts the number of parts of the snapshot
   * @param read the items of the parts that were read, by part number
   */
  record SnapshotProgress(
      SnapshotStatus status, long number, int parts, PMap<Integer, List<CatalogueEntry>> read) {

    SnapshotProgress withStatus(SnapshotStatus next) {
      return new SnapshotProgress(next, number, parts, HashTreePMap.empty());
    }

    SnapshotProgress plus(int part, List<CatalogueEntry> items) {
      return new SnapshotProgress(status, number, parts, read.plus(part, items));
    }

    boolean isComplete() {
      return status == SnapshotStatus.READING && read.size() == parts;
    }
  }
}
