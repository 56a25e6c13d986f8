package org.parsleyhead.entry.process;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.membership.MembershipEvent;
import org.parsleyhead.core.membership.Standing;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Tells the membership duty when every user of exclusive rights acts on a version of the host list.
 *
 * <p>Thread-safe. The quota duty tells each standing that it has put in force; the other users are
 * asked for the version that their last state acts on.
 */
final class RightsBarrier {

  private static final int REMEMBERED_STANDINGS = 1_024;

  private final List<LongSupplier> versionsInUse;
  private final Consumer<MembershipEvent> membership;
  private volatile PMap<Long, Long> versions = HashTreePMap.empty();

  /**
   * Creates a barrier.
   *
   * @param versionsInUse the version that each user but the quota duty acts on
   * @param membership takes the event
   */
  RightsBarrier(List<LongSupplier> versionsInUse, Consumer<MembershipEvent> membership) {
    this.versionsInUse = List.copyOf(versionsInUse);
    this.membership = Preconditions.requireNonNull(membership, "membership");
  }

  /** Notes a standing before it is handed to its users. */
  synchronized void issued(long sequence, Standing standing) {
    versions = versions.plus(sequence, standing.version()).minus(sequence - REMEMBERED_STANDINGS);
  }

  /** Is told that the quota duty acts on a standing. */
  void appliedByQuota(long sequence) {
    Long version = versions.get(sequence);
    boolean applied =
        version != null && versionsInUse.stream().allMatch(inUse -> inUse.getAsLong() >= version);
    if (applied) {
      membership.accept(new MembershipEvent.StandingApplied(sequence));
    }
  }
}
