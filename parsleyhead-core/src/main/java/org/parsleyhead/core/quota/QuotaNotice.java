package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Tells another member of the cell which cuts the sender knows.
 *
 * <p>Immutable and thread-safe.
 *
 * @param round the number of this notice, counted by the sender's process
 * @param echo the last notice that the sender got from the receiver; empty if it got none
 * @param listVersion the version of the host list that the sender acts on
 * @param entered whether the sender has taken up its share since its process started
 * @param cuts the cuts that the sender knows
 */
public record QuotaNotice(
    long round, Optional<Echo> echo, long listVersion, boolean entered, CutView cuts)
    implements PeerMessage {

  /** Checks the parts. */
  public QuotaNotice {
    Preconditions.requireNonNegative(round, "round");
    Preconditions.requireNonNull(echo, "echo");
    Preconditions.requireNonNegative(listVersion, "listVersion");
    Preconditions.requireNonNull(cuts, "cuts");
  }

  /**
   * Names a notice.
   *
   * @param incarnation the process that sent it
   * @param round its number
   */
  public record Echo(Incarnation incarnation, long round) {

    /** Checks the parts. */
    public Echo {
      Preconditions.requireNonNull(incarnation, "incarnation");
      Preconditions.requireNonNegative(round, "round");
    }
  }
}
