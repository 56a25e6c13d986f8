package org.parsleyhead.standin.platform;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.standin.ModeChange;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state of a publication service.
 *
 * <p>Immutable and thread-safe. Readers see {@code visible}, which is {@code current} unless the
 * mode is stale.
 *
 * @param revision the last revision that was given
 * @param current the values as they were set
 * @param visible the values that readers see
 * @param mode the way of answering
 * @param watches the readers that wait
 * @param calls how many calls were received, a watch as one
 */
record PublicationState(
    long revision,
    PMap<String, PublishedValue> current,
    PMap<String, PublishedValue> visible,
    ModeChange mode,
    List<PendingWatch> watches,
    long calls) {

  /** The state at the start. */
  static final PublicationState INITIAL =
      new PublicationState(
          0, HashTreePMap.empty(), HashTreePMap.empty(), ModeChange.UP, List.of(), 0);

  /** A reader that waits for a revision above the one it has. */
  record PendingWatch(long exchange, String path, long revision, MonotonicTime deadline) {}

  PublicationState withValues(
      long newRevision,
      PMap<String, PublishedValue> newCurrent,
      PMap<String, PublishedValue> newVisible) {
    return new PublicationState(newRevision, newCurrent, newVisible, mode, watches, calls);
  }

  PublicationState withMode(ModeChange newMode, PMap<String, PublishedValue> newVisible) {
    return new PublicationState(revision, current, newVisible, newMode, watches, calls);
  }

  PublicationState withWatches(List<PendingWatch> newWatches) {
    return new PublicationState(revision, current, visible, mode, List.copyOf(newWatches), calls);
  }

  PublicationState withCallCounted() {
    return new PublicationState(revision, current, visible, mode, watches, calls + 1);
  }
}
