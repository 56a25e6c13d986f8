package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Announces the allocations that the sender knows to another member of the cell.
 *
 * <p>Immutable and thread-safe.
 *
 * @param round the number of this notice, counted by the sender's process
 * @param acknowledged the latest notice that the sender received from the receiver; empty if it
 *     received none
 * @param listVersion the version of the host list that the sender acts on
 * @param joined whether the sender has joined the allocations since its process started
 * @param allocations the allocations that the sender knows
 */
public record QuotaNotice(
    long round,
    Optional<NoticeIdentifier> acknowledged,
    long listVersion,
    boolean joined,
    AllocationView allocations)
    implements PeerMessage {

  /** Validates the components. */
  public QuotaNotice {
    Preconditions.requireNonNegative(round, "round");
    Preconditions.requireNonNull(acknowledged, "acknowledged");
    Preconditions.requireNonNegative(listVersion, "listVersion");
    Preconditions.requireNonNull(allocations, "allocations");
  }

  /**
   * Identifies a notice.
   *
   * @param incarnation the process that sent it
   * @param round the number of the notice
   */
  public record NoticeIdentifier(Incarnation incarnation, long round) {

    /** Validates the components. */
    public NoticeIdentifier {
      Preconditions.requireNonNull(incarnation, "incarnation");
      Preconditions.requireNonNegative(round, "round");
    }
  }
}
