package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Returns a loan before it expires; the sender no longer uses its parts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param account the client account
 * @param loan the loan
 * @param microtokens the microtokens that are returned with the parts
 */
public record LoanReturn(ClientAccountName account, LoanIdentifier loan, long microtokens)
    implements PeerMessage {

  /** Validates the components. */
  public LoanReturn {
    Preconditions.requireNonNull(account, "account");
    Preconditions.requireNonNull(loan, "loan");
    Preconditions.requireNonNegative(microtokens, "microtokens");
  }
}
