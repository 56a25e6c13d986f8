package org.parsleyhead.entry.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.parsleyhead.core.membership.Standing;

/**
 * Tells when every user of exclusive rights acts on a standing or a later one.
 *
 * <p>Thread-safe. The quota duty tells each standing that it has put in force; the other users are
 * asked for the standing that their last state acts on. A standing that the others had not reached
 * by then is superseded by the next one, which the control plane issues within a second.
 */
final class RightsBarrier {

  private static final int REMEMBERED_STANDINGS = 1_024;

  private final List<Supplier<Standing>> standingsInUse;
  private final AtomicLong sequence = new AtomicLong();
  private final Map<Long, Issued> issued = new ConcurrentHashMap<>();
  private final Map<Standing, Long> numbers = new ConcurrentHashMap<>();

  /**
   * Creates a barrier.
   *
   * @param standingsInUse the standing that each user but the quota duty acts on
   */
  RightsBarrier(List<Supplier<Standing>> standingsInUse) {
    this.standingsInUse = List.copyOf(standingsInUse);
  }

  /** Notes a standing before it is handed to its users, and returns its sequence number. */
  long issue(Standing standing, Runnable applied) {
    long number = sequence.incrementAndGet();
    numbers.put(standing, number);
    issued.put(number, new Issued(standing, applied));
    Issued forgotten = issued.remove(number - REMEMBERED_STANDINGS);
    if (forgotten != null) {
      numbers.remove(forgotten.standing(), number - REMEMBERED_STANDINGS);
    }
    return number;
  }

  /** Is told that the quota duty acts on a standing. */
  void appliedByQuota(long number) {
    Issued standing = issued.get(number);
    boolean reached =
        standing != null
            && standingsInUse.stream()
                .map(Supplier::get)
                .allMatch(inUse -> numbers.getOrDefault(inUse, 0L) >= number);
    if (reached) {
      standing.applied().run();
    }
  }

  /**
   * A standing that was handed out.
   *
   * @param standing the standing
   * @param applied to be run when every user acts on it
   */
  private record Issued(Standing standing, Runnable applied) {}
}
