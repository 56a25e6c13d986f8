package org.parsleyhead.core.publication;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The copy of the published items and the progress of reading them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param items all known items by key, deletions included
 * @param revision the revision up to which the copy is complete; 0 before the first listing
 * @param reader whether this host reads from the platform itself
 * @param readNumber the number of the latest read; answers to earlier reads are ignored
 * @param listing the listing in progress; empty while changes are watched
 * @param nextReadAt when the next read may start; empty while one is in progress
 * @param readStartedAt when the read in progress was started; empty if there is none
 * @param reachable whether the last read succeeded
 * @param peerAheadSince since when another host has been ahead, restarted whenever an update is
 *     requested; empty if none is ahead
 * @param revisionAdvancedAt when the revision last increased
 */
public record PublicationState(
    PMap<String, PublishedItem> items,
    long revision,
    boolean reader,
    int readNumber,
    Optional<Listing> listing,
    Optional<MonotonicTime> nextReadAt,
    Optional<MonotonicTime> readStartedAt,
    boolean reachable,
    Optional<MonotonicTime> peerAheadSince,
    MonotonicTime revisionAdvancedAt) {

  /** Returns the state of a host that has not read anything yet. */
  public static PublicationState initial(MonotonicTime time) {
    return new PublicationState(
        HashTreePMap.empty(),
        0,
        true,
        0,
        Optional.of(Listing.START),
        Optional.of(time),
        Optional.empty(),
        true,
        Optional.empty(),
        time);
  }

  /** Returns whether the copy has been complete up to some revision. */
  public boolean initialized() {
    return revision > 0;
  }

  PublicationState withItems(PMap<String, PublishedItem> next) {
    return new PublicationState(
        next,
        revision,
        reader,
        readNumber,
        listing,
        nextReadAt,
        readStartedAt,
        reachable,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withRevision(long next) {
    return new PublicationState(
        items,
        Math.max(revision, next),
        reader,
        readNumber,
        listing,
        nextReadAt,
        readStartedAt,
        reachable,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withReader(boolean next) {
    return new PublicationState(
        items,
        revision,
        next,
        readNumber,
        listing,
        nextReadAt,
        readStartedAt,
        reachable,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withListing(Optional<Listing> next) {
    return new PublicationState(
        items,
        revision,
        reader,
        readNumber,
        next,
        nextReadAt,
        readStartedAt,
        reachable,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withReadStarted(MonotonicTime time) {
    return new PublicationState(
        items,
        revision,
        reader,
        readNumber + 1,
        listing,
        Optional.empty(),
        Optional.of(time),
        reachable,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withNextReadAt(MonotonicTime time) {
    return new PublicationState(
        items,
        revision,
        reader,
        readNumber,
        listing,
        Optional.of(time),
        Optional.empty(),
        reachable,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withReachable(boolean next) {
    return new PublicationState(
        items,
        revision,
        reader,
        readNumber,
        listing,
        nextReadAt,
        readStartedAt,
        next,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withRevisionAdvancedAt(MonotonicTime time) {
    return new PublicationState(
        items,
        revision,
        reader,
        readNumber,
        listing,
        nextReadAt,
        readStartedAt,
        reachable,
        peerAheadSince,
        time);
  }

  PublicationState withPeerAheadSince(Optional<MonotonicTime> next) {
    return new PublicationState(
        items,
        revision,
        reader,
        readNumber,
        listing,
        nextReadAt,
        readStartedAt,
        reachable,
        next,
        revisionAdvancedAt);
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
