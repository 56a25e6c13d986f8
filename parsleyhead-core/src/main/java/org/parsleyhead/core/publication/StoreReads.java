package org.parsleyhead.core.publication;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The progress of reading the published items from the platform.
 *
 * <p>Immutable and thread-safe.
 *
 * @param readNumber the number of the latest read
 * @param connection the number of the connection that reads use; a new one after each read whose
 *     answer is late or that failed, and for each listing, since a page does not tell which listing
 *     it belongs to
 * @param listing the listing in progress; empty while changes are watched
 * @param nextReadAt when the next read may start; empty while one is in progress
 * @param startedAt when the read in progress was started; empty if there is none
 * @param reachable whether the last read succeeded
 * @param answeredAt when the platform last answered a read; the start of the process before that
 * @param silenceReported whether the current silence of the platform has been reported
 */
record StoreReads(
    int readNumber,
    int connection,
    Optional<Listing> listing,
    Optional<MonotonicTime> nextReadAt,
    Optional<MonotonicTime> startedAt,
    boolean reachable,
    MonotonicTime answeredAt,
    boolean silenceReported) {

  static StoreReads startedAt(MonotonicTime time) {
    return new StoreReads(
        0, 0, Optional.of(Listing.START), Optional.of(time), Optional.empty(), true, time, false);
  }

  /** Returns the time since the platform last answered a read. */
  Duration silence(MonotonicTime time) {
    return time.since(answeredAt);
  }

  StoreReads withStarted(MonotonicTime time) {
    return new StoreReads(
        readNumber + 1,
        connection,
        listing,
        Optional.empty(),
        Optional.of(time),
        reachable,
        answeredAt,
        silenceReported);
  }

  StoreReads withNextAt(MonotonicTime time) {
    return new StoreReads(
        readNumber,
        connection,
        listing,
        Optional.of(time),
        Optional.empty(),
        reachable,
        answeredAt,
        silenceReported);
  }

  StoreReads withListing(Optional<Listing> next) {
    return new StoreReads(
        readNumber,
        connection,
        next,
        nextReadAt,
        startedAt,
        reachable,
        answeredAt,
        silenceReported);
  }

  /** Returns this progress with a listing from the start, which may begin at an instant. */
  StoreReads withNewListing(MonotonicTime next) {
    return new StoreReads(
        readNumber,
        connection + 1,
        Optional.of(Listing.START),
        Optional.of(next),
        Optional.empty(),
        reachable,
        answeredAt,
        silenceReported);
  }

  /**
   * Returns this progress after the era of the store increased: a listing from the start, which may
   * begin at an instant, on another connection. No earlier read has the number of its first page.
   */
  StoreReads withNewEra(MonotonicTime next) {
    return new StoreReads(
        readNumber + 1,
        connection + 1,
        Optional.of(Listing.START),
        Optional.of(next),
        Optional.empty(),
        reachable,
        answeredAt,
        silenceReported);
  }

  StoreReads withAnswer(MonotonicTime time) {
    return new StoreReads(
        readNumber, connection, listing, nextReadAt, startedAt, true, time, false);
  }

  /** Returns this progress after a failed read, whose successor may start at an instant. */
  StoreReads withFailure(MonotonicTime next) {
    return new StoreReads(
        readNumber + 1,
        connection + 1,
        listing,
        Optional.of(next),
        Optional.empty(),
        false,
        answeredAt,
        silenceReported);
  }

  /**
   * Returns this progress after an answer that is late; the next read may start at an instant, on a
   * connection of its own, and the answer is still taken if it comes.
   */
  StoreReads withLateAnswer(MonotonicTime next) {
    return new StoreReads(
        readNumber,
        connection + 1,
        listing,
        Optional.of(next),
        Optional.empty(),
        reachable,
        answeredAt,
        silenceReported);
  }

  StoreReads withSilenceReported() {
    return new StoreReads(
        readNumber, connection, listing, nextReadAt, startedAt, reachable, answeredAt, true);
  }

  /**
   * The progress of a listing of all items, page by page.
   *
   * <p>Immutable and thread-safe. The pages do not form a snapshot, so changes are watched from the
   * revision of the first page.
   *
   * @param afterKey the key after which the next page starts
   * @param firstRevision the revision of the first page; 0 before it was read
   * @param seenKeys the keys of all pages read so far
   */
  record Listing(String afterKey, long firstRevision, PSet<String> seenKeys) {

    static final Listing START = new Listing("", 0, HashTreePSet.empty());
  }
}
