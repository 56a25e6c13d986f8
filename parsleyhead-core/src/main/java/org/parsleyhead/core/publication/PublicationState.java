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
 * @param items all known items by key, deletions included
 * @param revision the revision up to which the copy is complete; 0 before the first listing
 * @param deletionsKnownFrom the revision after which the copy holds each deletion; a listing shows
 *     no deletions, so it is the revision of the last one
 * @param reader whether this host reads from the platform itself
 * @param reads the progress of reading from the platform
 * @param peerAheadSince since when another host has been ahead, restarted whenever an update is
 *     requested; empty if none is ahead
 * @param revisionAdvancedAt when the revision last increased
 */
public record PublicationState(
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
        HashTreePMap.empty(), 0, 0, true, StoreReads.startedAt(time), Optional.empty(), time);
  }

  /** Returns whether the copy has been complete up to some revision. */
  public boolean initialized() {
    return revision > 0;
  }

  /** Returns when the platform last answered a read of this host. */
  public MonotonicTime answeredAt() {
    return reads.answeredAt();
  }

  PublicationState withItems(PMap<String, PublishedItem> next) {
    return new PublicationState(
        next, revision, deletionsKnownFrom, reader, reads, peerAheadSince, revisionAdvancedAt);
  }

  PublicationState withRevision(long next) {
    return new PublicationState(
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
        items, revision, deletionsKnownFrom, next, reads, peerAheadSince, revisionAdvancedAt);
  }

  PublicationState withReads(UnaryOperator<StoreReads> change) {
    return new PublicationState(
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
        items, revision, deletionsKnownFrom, reader, reads, peerAheadSince, time);
  }

  PublicationState withPeerAheadSince(Optional<MonotonicTime> next) {
    return new PublicationState(
        items, revision, deletionsKnownFrom, reader, reads, next, revisionAdvancedAt);
  }
}
