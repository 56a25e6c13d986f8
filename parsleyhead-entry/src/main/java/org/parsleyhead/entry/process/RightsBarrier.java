package org.parsleyhead.entry.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.parsleyhead.core.membership.RightsSnapshot;

/**
 * Determines when every user of exclusive rights acts on an issued rights snapshot or a later one.
 *
 * <p>The quota duty reports each snapshot that it has applied; at that point the snapshots in the
 * current states of the other users are read. A snapshot that one of them has not reached by then
 * is not acknowledged; the next one, which the control plane issues within a second, supersedes it.
 *
 * <p>Thread-safe.
 */
final class RightsBarrier {

  private static final int MAXIMUM_TRACKED_SNAPSHOTS = 1_024;

  private final List<Supplier<RightsSnapshot>> snapshotsInUse;
  private final AtomicLong sequence = new AtomicLong();
  private final Map<Long, IssuedRights> issued = new ConcurrentHashMap<>();
  private final Map<RightsSnapshot, Long> sequenceNumbers = new ConcurrentHashMap<>();

  /**
   * Creates a barrier.
   *
   * @param snapshotsInUse supplies, for each user except the quota duty, the snapshot it acts on
   */
  RightsBarrier(List<Supplier<RightsSnapshot>> snapshotsInUse) {
    this.snapshotsInUse = List.copyOf(snapshotsInUse);
  }

  /** Records a snapshot before it is distributed and returns its sequence number. */
  long issue(RightsSnapshot rightsSnapshot, Runnable applied) {
    long number = sequence.incrementAndGet();
    sequenceNumbers.put(rightsSnapshot, number);
    issued.put(number, new IssuedRights(rightsSnapshot, applied));
    IssuedRights evicted = issued.remove(number - MAXIMUM_TRACKED_SNAPSHOTS);
    if (evicted != null) {
      sequenceNumbers.remove(evicted.rightsSnapshot(), number - MAXIMUM_TRACKED_SNAPSHOTS);
    }
    return number;
  }

  /** Called when the quota duty has applied the snapshot with a sequence number. */
  void appliedByQuota(long number) {
    IssuedRights rightsSnapshot = issued.get(number);
    boolean reached =
        rightsSnapshot != null
            && snapshotsInUse.stream()
                .map(Supplier::get)
                .allMatch(inUse -> sequenceNumbers.getOrDefault(inUse, 0L) >= number);
    if (reached) {
      rightsSnapshot.applied().run();
    }
  }

  /**
   * A rights snapshot that was issued to its users.
   *
   * @param rightsSnapshot the snapshot
   * @param applied runs when every user acts on the snapshot or a later one
   */
  private record IssuedRights(RightsSnapshot rightsSnapshot, Runnable applied) {}
}
