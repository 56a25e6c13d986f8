package org.parsleyhead.core.api;

/**
 * A message between two entry hosts.
 *
 * <p>Implementations are immutable records. They contain durations instead of {@link
 * MonotonicTime}, since readings of different processes cannot be compared. Messages may be lost,
 * delayed, duplicated and reordered.
 */
public interface PeerMessage {}
