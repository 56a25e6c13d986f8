package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Asks another host for parts and tokens of a client account.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the request, counted by the sender's process
 * @param account the client account
 * @param parts how many parts more the sender could use, renewed ones included
 * @param microtokens how many tokens the sender lacks now
 * @param room how many tokens find room at the sender without further parts, in microtokens
 * @param renewed the loan of the receiver that is to be renewed; empty if there is none
 */
public record LoanRequest(
    long number,
    ClientAccountName account,
    long parts,
    long microtokens,
    long room,
    Optional<LoanIdentifier> renewed)
    implements PeerMessage {

  /** Checks the parts. */
  public LoanRequest {
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(account, "account");
    Preconditions.requireNonNegative(parts, "parts");
    Preconditions.requireNonNegative(microtokens, "microtokens");
    Preconditions.requireNonNegative(room, "room");
    Preconditions.requireNonNull(renewed, "renewed");
  }
}
