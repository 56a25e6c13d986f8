package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What one host has read of the configuration service, and which calls are under way.
 *
 * <p>Immutable and thread-safe.
 *
 * @param contactAt when the service last answered this host or a host that it heard of
 * @param revision the revision to watch from
 * @param latest the number of the last ticket as the service told it
 * @param latestRead whether the service ever told it
 * @param outstanding the calls under way with their start
 * @param retries the calls that failed or found nothing
 * @param splits the tickets that have several parts, with the number of parts
 * @param snapshot how far the reading of the snapshot is
 */
record ServiceState(
    Optional<MonotonicTime> contactAt,
    long revision,
    long latest,
    boolean latestRead,
    PMap<ServiceRead, MonotonicTime> outstanding,
    PMap<ServiceRead, Retry> retries,
    PMap<Long, Integer> splits,
    SnapshotReading snapshot) {

  static final ServiceState INITIAL =
      new ServiceState(
          Optional.empty(),
          0,
          0,
          false,
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          new SnapshotReading(SnapshotStatus.NEEDED, 0, 0, HashTreePMap.empty()));

  ServiceState withContact(MonotonicTime time) {
    boolean newer = contactAt.isEmpty() || contactAt.get().isBefore(time);
    return new ServiceState(
        newer ? Optional.of(time) : contactAt,
        revision,
        latest,
        latestRead,
        outstanding,
        retries,
        splits,
        snapshot);
  }

  ServiceState withLatest(long newRevision, long number) {
    return new ServiceState(
        contactAt,
        newRevision,
        Math.max(latest, number),
        true,
        outstanding,
        retries,
        splits,
        snapshot);
  }

  ServiceState withRevision(long newRevision) {
    return new ServiceState(
        contactAt, newRevision, latest, latestRead, outstanding, retries, splits, snapshot);
  }

  ServiceState started(ServiceRead read, MonotonicTime time) {
    return withReads(outstanding.plus(read, time), retries);
  }

  ServiceState ended(ServiceRead read) {
    return withReads(outstanding.minus(read), retries.minus(read));
  }

  ServiceState retried(ServiceRead read, Retry retry) {
    return withReads(outstanding.minus(read), retries.plus(read, retry));
  }

  ServiceState withReads(
      PMap<ServiceRead, MonotonicTime> underWay, PMap<ServiceRead, Retry> failed) {
    return new ServiceState(
        contactAt, revision, latest, latestRead, underWay, failed, splits, snapshot);
  }

  ServiceState withSplits(PMap<Long, Integer> parts) {
    return new ServiceState(
        contactAt, revision, latest, latestRead, outstanding, retries, parts, snapshot);
  }

  ServiceState withSnapshot(SnapshotReading reading) {
    return new ServiceState(
        contactAt, revision, latest, latestRead, outstanding, retries, splits, reading);
  }

  boolean isWatching() {
    return outstanding.keySet().stream().anyMatch(ServiceRead.WatchLatest.class::isInstance);
  }

  boolean mayStart(ServiceRead read, MonotonicTime time) {
    Retry retry = retries.get(read);
    return !outstanding.containsKey(read) && (retry == null || !time.isBefore(retry.notBefore()));
  }

  /** Tells whether the service said that it has no such value. */
  boolean isAbsent(ServiceRead read) {
    Retry retry = retries.get(read);
    return retry != null && retry.absent();
  }

  /** Returns how long ago the service answered anybody that this host heard of. */
  Duration contactAge(MonotonicTime time) {
    return contactAt.map(time::since).orElse(ConfigurationSummary.MAXIMUM_AGE);
  }

  /**
   * A call that failed or found nothing.
   *
   * @param failures how often in a row
   * @param notBefore when it may be repeated
   * @param absent whether the service said that it has no such value
   */
  record Retry(int failures, MonotonicTime notBefore, boolean absent) {}

  /** How far the reading of the snapshot is. */
  enum SnapshotStatus {
    NEEDED,
    READING,
    DONE
  }

  /**
   * The reading of the published snapshot.
   *
   * @param status how far it is
   * @param number the number of the snapshot
   * @param parts how many parts it has
   * @param read the parts that were read
   */
  record SnapshotReading(
      SnapshotStatus status, long number, int parts, PMap<Integer, List<HeardItem>> read) {

    SnapshotReading withStatus(SnapshotStatus next) {
      return new SnapshotReading(next, number, parts, HashTreePMap.empty());
    }

    SnapshotReading plus(int part, List<HeardItem> items) {
      return new SnapshotReading(status, number, parts, read.plus(part, items));
    }

    boolean isComplete() {
      return status == SnapshotStatus.READING && read.size() == parts;
    }
  }
}
