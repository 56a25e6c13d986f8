package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Ends a loan before its time: the sender uses its parts no more.
 *
 * <p>Immutable and thread-safe.
 *
 * @param account the client account
 * @param loan the loan
 * @param microtokens the tokens that go back with the parts
 */
public record LoanReturn(ClientAccountName account, LoanIdentifier loan, long microtokens)
    implements PeerMessage {

  /** Checks the parts. */
  public LoanReturn {
    Preconditions.requireNonNull(account, "account");
    Preconditions.requireNonNull(loan, "loan");
    Preconditions.requireNonNegative(microtokens, "microtokens");
  }
}
