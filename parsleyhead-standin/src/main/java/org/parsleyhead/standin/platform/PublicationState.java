package org.parsleyhead.standin.platform;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.standin.ModeChange;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state of a publication service.
 *
 * <p>Immutable and thread-safe. Readers receive the values of {@code visible}, which equals {@code
 * current} unless the mode is {@link org.parsleyhead.standin.ServiceMode#STALE}.
 *
 * @param revision the last assigned revision
 * @param current the current values
 * @param visible the values that readers receive
 * @param mode the service mode
 * @param watches the pending watches
 * @param requestCount how many requests were received; a watch counts once
 */
record PublicationState(
    long revision,
    PMap<String, PublishedValue> current,
    PMap<String, PublishedValue> visible,
    ModeChange mode,
    List<PendingWatch> watches,
    long requestCount) {

  /** The initial state. */
  static final PublicationState INITIAL =
      new PublicationState(
          0, HashTreePMap.empty(), HashTreePMap.empty(), ModeChange.UP, List.of(), 0);

  /** A watch that waits for a revision higher than the given one until its deadline. */
  record PendingWatch(long exchange, String path, long revision, MonotonicTime deadline) {}

  PublicationState withValues(
      long newRevision,
      PMap<String, PublishedValue> newCurrent,
      PMap<String, PublishedValue> newVisible) {
    return new PublicationState(newRevision, newCurrent, newVisible, mode, watches, requestCount);
  }

  PublicationState withMode(ModeChange newMode, PMap<String, PublishedValue> newVisible) {
    return new PublicationState(revision, current, newVisible, newMode, watches, requestCount);
  }

  PublicationState withWatches(List<PendingWatch> newWatches) {
    return new PublicationState(
        revision, current, visible, mode, List.copyOf(newWatches), requestCount);
  }

  PublicationState withRequestCounted() {
    return new PublicationState(revision, current, visible, mode, watches, requestCount + 1);
  }
}
