package org.parsleyhead.core.quota;

import java.time.Duration;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Lends parts for a duration and hands over tokens for good.
 *
 * <p>Immutable and thread-safe. The borrower counts the duration from before its request was sent,
 * the lender from the grant.
 *
 * @param requestNumber the number of the request that is answered
 * @param borrower the process that asked
 * @param account the client account
 * @param loan the identity of the loan
 * @param parts the parts of the whole loan, renewed ones included
 * @param microtokens the tokens that go over
 * @param duration how long the parts are lent
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

  /** Checks the parts. */
  public LoanGrant {
    Preconditions.requireNonNegative(requestNumber, "requestNumber");
    Preconditions.requireNonNull(borrower, "borrower");
    Preconditions.requireNonNull(account, "account");
    Preconditions.requireNonNull(loan, "loan");
    Preconditions.requireNonNegative(parts, "parts");
    Preconditions.require(parts <= QuotaUnits.PARTS, "parts", "must not be more than the whole");
    Preconditions.requireNonNegative(microtokens, "microtokens");
    Preconditions.requireNonNull(duration, "duration");
    Preconditions.require(!duration.isNegative(), "duration", "must not be negative");
  }
}
