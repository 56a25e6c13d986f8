package org.parsleyhead.core.quota;

import java.time.Duration;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Grants a loan of parts for a duration and transfers tokens permanently.
 *
 * <p>Immutable and thread-safe. The borrower measures the duration from before it sent its request,
 * the lender from the grant.
 *
 * @param requestNumber the number of the loan request that this message answers
 * @param borrower the process that sent the request
 * @param account the client account
 * @param loan the identity of the loan
 * @param parts the parts of the whole loan, including renewed ones
 * @param microtokens the microtokens that are transferred
 * @param duration the duration of the loan
 */
public record LoanGrant(
    long requestNumber,
    Incarnation borrower,
    ClientAccountName account,
    LoanIdentifier loan,
    long parts,
    long microtokens,
    Duration duration)
    implements PeerMessage {

  /** Validates the components. */
  public LoanGrant {
    Preconditions.requireNonNegative(requestNumber, "requestNumber");
    Preconditions.requireNonNull(borrower, "borrower");
    Preconditions.requireNonNull(account, "account");
    Preconditions.requireNonNull(loan, "loan");
    Preconditions.requireNonNegative(parts, "parts");
    Preconditions.require(
        parts <= QuotaUnits.TOTAL_PARTS, "parts", "must not exceed the total number of parts");
    Preconditions.requireNonNegative(microtokens, "microtokens");
    Preconditions.requireNonNull(duration, "duration");
    Preconditions.require(!duration.isNegative(), "duration", "must not be negative");
  }
}
