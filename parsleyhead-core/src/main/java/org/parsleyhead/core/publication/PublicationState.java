package org.parsleyhead.core.publication;

import java.util.Optional;
import java.util.function.UnaryOperator;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The copy of the published items and the progress of reading them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param storeEra the era of the store, and what remains in force of former eras
 * @param items all known items of that era by key, deletions included
 * @param revision the revision of that era up to which the copy is complete; 0 before the first
 *     listing of the era
 * @param deletionsKnownFrom the revision after which the copy holds each deletion; a listing shows
 *     no deletions, so it is the revision of the last one
 * @param reader whether this host reads from the platform itself
 * @param reads the progress of reading from the platform
 * @param peerAheadSince since when another host has been ahead, restarted whenever an update is
 *     requested; empty if none is ahead
 * @param revisionAdvancedAt when the revision last increased
 */
public record PublicationState(
    StoreEra storeEra,
    PMap<String, PublishedItem> items,
    long revision,
    long deletionsKnownFrom,
    boolean reader,
    StoreReads reads,
    Optional<MonotonicTime> peerAheadSince,
    MonotonicTime revisionAdvancedAt) {

  /** Returns the state of a host that has not read anything yet. */
  public static PublicationState initial(MonotonicTime time) {
    return new PublicationState(
        StoreEra.UNKNOWN,
        HashTreePMap.empty(),
        0,
        0,
        true,
        StoreReads.startedAt(time),
        Optional.empty(),
        time);
  }

  /** Returns the era of the store; 0 if the store states none. */
  public long era() {
    return storeEra.number();
  }

  /** Returns whether the copy has been complete up to some revision, of any era. */
  public boolean initialized() {
    return complete() || storeEra.formerlyComplete();
  }

  /** Returns whether the copy has been complete up to some revision of the current era. */
  boolean complete() {
    return revision > 0;
  }

  /** Returns when the platform last answered a read of this host. */
  public MonotonicTime answeredAt() {
    return reads.answeredAt();
  }

  /**
   * Returns the state after the era increased: nothing is known of its items, and everything that
   * was in force remains so until the new era replaces it.
   *
   * @param next the reads of the new era
   */
  PublicationState withEra(long era, int firstRead, StoreReads next, MonotonicTime time) {
    return new PublicationState(
        storeEra.increased(era, firstRead, items, complete(), time),
        HashTreePMap.empty(),
        0,
        0,
        reader,
        next,
        Optional.empty(),
        time);
  }

  /**
   * Returns whether the copy was complete at some instant not before the given one: a watch was
   * answered since, or the revision has increased since.
   */
  boolean readSince(MonotonicTime since) {
    boolean watched = reads.listing().isEmpty() && !answeredAt().isBefore(since);
    return watched || !revisionAdvancedAt.isBefore(since);
  }

  PublicationState withStoreEra(StoreEra next) {
    return new PublicationState(
        next,
        items,
        revision,
        deletionsKnownFrom,
        reader,
        reads,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withItems(PMap<String, PublishedItem> next) {
    return new PublicationState(
        storeEra,
        next,
        revision,
        deletionsKnownFrom,
        reader,
        reads,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withRevision(long next) {
    return new PublicationState(
        next > 0 ? storeEra.withCompleteTo(next) : storeEra,
        items,
        Math.max(revision, next),
        deletionsKnownFrom,
        reader,
        reads,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withDeletionsKnownFrom(long next) {
    return new PublicationState(
        storeEra,
        items,
        revision,
        Math.max(deletionsKnownFrom, next),
        reader,
        reads,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withReader(boolean next) {
    return new PublicationState(
        storeEra,
        items,
        revision,
        deletionsKnownFrom,
        next,
        reads,
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withReads(UnaryOperator<StoreReads> change) {
    return new PublicationState(
        storeEra,
        items,
        revision,
        deletionsKnownFrom,
        reader,
        change.apply(reads),
        peerAheadSince,
        revisionAdvancedAt);
  }

  PublicationState withRevisionAdvancedAt(MonotonicTime time) {
    return new PublicationState(
        storeEra, items, revision, deletionsKnownFrom, reader, reads, peerAheadSince, time);
  }

  PublicationState withPeerAheadSince(Optional<MonotonicTime> next) {
    return new PublicationState(
        storeEra, items, revision, deletionsKnownFrom, reader, reads, next, revisionAdvancedAt);
  }
}
