package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The state of one client account on one host.
 *
 * <p>Immutable and thread-safe. The parts of the bucket are those of the host's share, less the
 * lent ones, plus the borrowed ones.
 *
 * @param name the client account
 * @param bucket the tokens that may be spent
 * @param demand the estimated token consumption of requests
 * @param reservations the admitted requests that are not yet settled
 * @param waiting the requests that wait for tokens, in order of arrival
 * @param lent the loans granted to other hosts
 * @param borrowed the loans received from other hosts
 * @param pendingLoanRequests the sent loan requests that may still be answered, by number
 * @param nextLoanRequestAt when loans may be requested again
 */
record AccountState(
    ClientAccountName name,
    TokenBucket bucket,
    DemandEstimate demand,
    PMap<RequestIdentifier, Reservation> reservations,
    PVector<WaitingRequest> waiting,
    PMap<LoanIdentifier, LentLoan> lent,
    PMap<LoanIdentifier, BorrowedLoan> borrowed,
    PMap<Long, PendingLoanRequest> pendingLoanRequests,
    MonotonicTime nextLoanRequestAt) {

  /** Returns the state of a newly declared account: without tokens. */
  static AccountState initial(ClientAccountName name, Limits limits, MonotonicTime time) {
    return new AccountState(
        name,
        TokenBucket.empty(limits, time),
        DemandEstimate.none(time),
        HashTreePMap.empty(),
        TreePVector.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        time);
  }

  Limits limits() {
    return bucket.limits();
  }

  long lentParts() {
    return lent.values().stream().mapToLong(LentLoan::parts).sum();
  }

  long borrowedParts() {
    return borrowed.values().stream().mapToLong(BorrowedLoan::parts).sum();
  }

  /** Returns the loan borrowed from a host, if there is one. */
  Optional<LoanIdentifier> borrowedFrom(HostName lender) {
    return borrowed.entrySet().stream()
        .filter(entry -> entry.getValue().lender().equals(lender))
        .map(java.util.Map.Entry::getKey)
        .findFirst();
  }

  AccountState withBucket(TokenBucket changed) {
    return new AccountState(
        name,
        changed,
        demand,
        reservations,
        waiting,
        lent,
        borrowed,
        pendingLoanRequests,
        nextLoanRequestAt);
  }

  AccountState withDemand(DemandEstimate changed) {
    return new AccountState(
        name,
        bucket,
        changed,
        reservations,
        waiting,
        lent,
        borrowed,
        pendingLoanRequests,
        nextLoanRequestAt);
  }

  AccountState withReservations(PMap<RequestIdentifier, Reservation> changed) {
    return new AccountState(
        name,
        bucket,
        demand,
        changed,
        waiting,
        lent,
        borrowed,
        pendingLoanRequests,
        nextLoanRequestAt);
  }

  AccountState withWaiting(PVector<WaitingRequest> changed) {
    return new AccountState(
        name,
        bucket,
        demand,
        reservations,
        changed,
        lent,
        borrowed,
        pendingLoanRequests,
        nextLoanRequestAt);
  }

  AccountState withLoans(
      PMap<LoanIdentifier, LentLoan> changedLent,
      PMap<LoanIdentifier, BorrowedLoan> changedBorrowed) {
    return new AccountState(
        name,
        bucket,
        demand,
        reservations,
        waiting,
        changedLent,
        changedBorrowed,
        pendingLoanRequests,
        nextLoanRequestAt);
  }

  AccountState withPendingLoanRequests(PMap<Long, PendingLoanRequest> changed, MonotonicTime next) {
    return new AccountState(
        name, bucket, demand, reservations, waiting, lent, borrowed, changed, next);
  }

  /**
   * An admitted request.
   *
   * @param microtokens the microtokens that were charged
   * @param historyPosition the position of the charge in the refund history of the bucket
   */
  record Reservation(long microtokens, long historyPosition) {}

  /**
   * A request that waits for tokens.
   *
   * @param request the request
   * @param microtokens the microtokens that it needs
   * @param deadline when the request is refused if it has not been admitted
   */
  record WaitingRequest(RequestIdentifier request, long microtokens, MonotonicTime deadline) {}

  /**
   * A loan that this host granted.
   *
   * @param parts the lent parts
   * @param expiresAt when this host may use the parts again
   */
  record LentLoan(long parts, MonotonicTime expiresAt) {}

  /**
   * A loan that this host received.
   *
   * @param lender the host that granted it
   * @param parts the borrowed parts
   * @param expiresAt when this host must stop using the parts
   */
  record BorrowedLoan(HostName lender, long parts, MonotonicTime expiresAt) {}

  /**
   * A sent loan request that may still be answered.
   *
   * @param lender the host that received the request
   * @param sentAt when the request was sent
   * @param renewedLoan the loan to renew; empty if there is none
   * @param renewedLoanReturned whether that loan has been returned since, so that a late grant must
   *     not bring it back into use
   */
  record PendingLoanRequest(
      HostName lender,
      MonotonicTime sentAt,
      Optional<LoanIdentifier> renewedLoan,
      boolean renewedLoanReturned) {

    /** Returns whether the parts of a loan that answers this request may be used. */
    boolean accepts(LoanIdentifier loan) {
      return !renewedLoanReturned || renewedLoan.filter(loan::equals).isEmpty();
    }

    /** Returns this request after a loan has been returned. */
    PendingLoanRequest afterReturnOf(LoanIdentifier loan) {
      boolean same = renewedLoan.filter(loan::equals).isPresent();
      return new PendingLoanRequest(lender, sentAt, renewedLoan, renewedLoanReturned || same);
    }
  }
}
