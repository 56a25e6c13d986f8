package org.parsleyhead.core.api;

/**
 * A message between two entry hosts.
 *
 * <p>Implementations are immutable records. They hold no {@link MonotonicTime}, since readings of
 * different processes cannot be compared; durations take its place. Messages may be lost, delayed,
 * doubled and reordered.
 */
public interface PeerMessage {}
