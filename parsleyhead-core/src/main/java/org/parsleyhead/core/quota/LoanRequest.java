package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Requests a loan of parts and tokens of a client account from another host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the sequence number of the request within the sender's process
 * @param account the client account
 * @param parts the additional parts that the sender could use, including renewed ones
 * @param microtokens the microtokens that the sender currently lacks
 * @param spareCapacity the microtokens for which the sender has room without additional parts
 * @param renewedLoan the loan from the receiver to renew; empty if there is none
 */
public record LoanRequest(
    long number,
    ClientAccountName account,
    long parts,
    long microtokens,
    long spareCapacity,
    Optional<LoanIdentifier> renewedLoan)
    implements PeerMessage {

  /** Validates the components. */
  public LoanRequest {
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(account, "account");
    Preconditions.requireNonNegative(parts, "parts");
    Preconditions.requireNonNegative(microtokens, "microtokens");
    Preconditions.requireNonNegative(spareCapacity, "spareCapacity");
    Preconditions.requireNonNull(renewedLoan, "renewedLoan");
  }
}
