package org.parsleyhead.entry.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.parsleyhead.core.membership.Standing;

/**
 * Tells when every user of exclusive rights acts on a standing.
 *
 * <p>Thread-safe. The quota duty tells each standing that it has put in force; the other users are
 * asked for the version of the host list that their last state acts on. A standing that the others
 * had not reached by then is superseded by the next one, which comes within a second.
 */
final class RightsBarrier {

  private static final int REMEMBERED_STANDINGS = 1_024;

  private final List<LongSupplier> versionsInUse;
  private final AtomicLong sequence = new AtomicLong();
  private final Map<Long, Pending> pending = new ConcurrentHashMap<>();

  /**
   * Creates a barrier.
   *
   * @param versionsInUse the version that each user but the quota duty acts on
   */
  RightsBarrier(List<LongSupplier> versionsInUse) {
    this.versionsInUse = List.copyOf(versionsInUse);
  }

  /** Notes a standing before it is handed to its users, and returns its sequence number. */
  long issue(Standing standing, Runnable applied) {
    long number = sequence.incrementAndGet();
    pending.put(number, new Pending(standing.version(), applied));
    pending.remove(number - REMEMBERED_STANDINGS);
    return number;
  }

  /** Is told that the quota duty acts on a standing. */
  void appliedByQuota(long number) {
    Pending issued = pending.remove(number);
    boolean applied =
        issued != null
            && versionsInUse.stream().allMatch(inUse -> inUse.getAsLong() >= issued.version());
    if (applied) {
      issued.applied().run();
    }
  }

  /**
   * A standing that was handed out.
   *
   * @param version its version of the host list
   * @param applied to be run when every user acts on it
   */
  private record Pending(long version, Runnable applied) {}
}
