package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.Preconditions;

/**
 * The identity of a loan, unique over all processes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param lender the process that lends
 * @param number the number of the loan, counted by that process
 */
public record LoanIdentifier(Incarnation lender, long number) {

  /** Checks the parts. */
  public LoanIdentifier {
    Preconditions.requireNonNull(lender, "lender");
    Preconditions.requireNonNegative(number, "number");
  }
}
