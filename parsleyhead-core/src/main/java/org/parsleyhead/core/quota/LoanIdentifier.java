package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.Preconditions;

/**
 * The identity of a loan, unique across all processes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param lender the process that lends
 * @param number the sequence number of the loan within that process
 */
public record LoanIdentifier(Incarnation lender, long number) {

  /** Validates the components. */
  public LoanIdentifier {
    Preconditions.requireNonNull(lender, "lender");
    Preconditions.requireNonNegative(number, "number");
  }
}
