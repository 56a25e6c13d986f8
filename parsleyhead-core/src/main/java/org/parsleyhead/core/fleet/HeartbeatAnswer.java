package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;

/**
 * The answer to a heartbeat, with the votes for its claims.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce the number of the answered heartbeat
 * @param endpoint the endpoint at which the sender receives messages
 * @param highestFence the highest fencing number that the sender has observed
 * @param knownHosts the number of hosts that the sender counts for majorities, the receiver
 *     included; 0 if the sender does not know the members of the fleet
 * @param newcomer whether the sender has counted the receiver only for a short time
 * @param votesForAll whether the receiver gets the sender's vote for all claims of the heartbeat
 * @param votes the instances for which the receiver gets the vote; empty if it gets all votes
 */
public record HeartbeatAnswer(
    long nonce,
    String endpoint,
    long highestFence,
    int knownHosts,
    boolean newcomer,
    boolean votesForAll,
    List<String> votes)
    implements PeerMessage {

  /** Copies the votes. */
  public HeartbeatAnswer {
    votes = List.copyOf(votes);
  }
}
