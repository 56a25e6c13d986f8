package org.parsleyhead.entry.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.parsleyhead.core.membership.Standing;

/**
 * Determines when every user of exclusive rights acts on an issued standing or a later one.
 *
 * <p>The quota duty reports each standing that it has applied; at that point the standings in the
 * current states of the other users are read. A standing that one of them has not reached by then
 * is not acknowledged; the next one, which the control plane issues within a second, supersedes it.
 *
 * <p>Thread-safe.
 */
final class RightsBarrier {

  private static final int MAXIMUM_TRACKED_STANDINGS = 1_024;

  private final List<Supplier<Standing>> standingsInUse;
  private final AtomicLong sequence = new AtomicLong();
  private final Map<Long, IssuedStanding> issued = new ConcurrentHashMap<>();
  private final Map<Standing, Long> sequenceNumbers = new ConcurrentHashMap<>();

  /**
   * Creates a barrier.
   *
   * @param standingsInUse supplies, for each user except the quota duty, the standing it acts on
   */
  RightsBarrier(List<Supplier<Standing>> standingsInUse) {
    this.standingsInUse = List.copyOf(standingsInUse);
  }

  /** Records a standing before it is distributed and returns its sequence number. */
  long issue(Standing standing, Runnable applied) {
    long number = sequence.incrementAndGet();
    sequenceNumbers.put(standing, number);
    issued.put(number, new IssuedStanding(standing, applied));
    IssuedStanding evicted = issued.remove(number - MAXIMUM_TRACKED_STANDINGS);
    if (evicted != null) {
      sequenceNumbers.remove(evicted.standing(), number - MAXIMUM_TRACKED_STANDINGS);
    }
    return number;
  }

  /** Called when the quota duty has applied the standing with a sequence number. */
  void appliedByQuota(long number) {
    IssuedStanding standing = issued.get(number);
    boolean reached =
        standing != null
            && standingsInUse.stream()
                .map(Supplier::get)
                .allMatch(inUse -> sequenceNumbers.getOrDefault(inUse, 0L) >= number);
    if (reached) {
      standing.applied().run();
    }
  }

  /**
   * A standing that was issued to its users.
   *
   * @param standing the standing
   * @param applied runs when every user acts on the standing or a later one
   */
  private record IssuedStanding(Standing standing, Runnable applied) {}
}
