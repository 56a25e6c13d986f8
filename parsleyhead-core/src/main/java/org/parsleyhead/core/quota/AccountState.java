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
 * What one host holds of one client account.
 *
 * <p>Immutable and thread-safe. The parts of the bucket are those of the host's share, less the
 * lent ones, plus the borrowed ones.
 *
 * @param name the client account
 * @param bucket the tokens that may be spent
 * @param demand what requests ask for
 * @param reservations the admitted requests that are not settled
 * @param waiting the requests that wait for tokens, in the order of their arrival
 * @param lent the loans given
 * @param borrowed the loans taken
 * @param asked the requests for loans that may still be answered
 * @param nextAskAt when loans may be asked for again
 */
record AccountState(
    ClientAccountName name,
    TokenBucket bucket,
    DemandEstimate demand,
    PMap<RequestIdentifier, Reservation> reservations,
    PVector<WaitingRequest> waiting,
    PMap<LoanIdentifier, LentLoan> lent,
    PMap<LoanIdentifier, BorrowedLoan> borrowed,
    PMap<Long, PendingAsk> asked,
    MonotonicTime nextAskAt) {

  /** Returns the state of an account that was not known before: without tokens. */
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

  /** Returns the loan that a host gave, if there is one. */
  Optional<LoanIdentifier> borrowedFrom(HostName lender) {
    return borrowed.entrySet().stream()
        .filter(entry -> entry.getValue().lender().equals(lender))
        .map(java.util.Map.Entry::getKey)
        .findFirst();
  }

  AccountState withBucket(TokenBucket changed) {
    return new AccountState(
        name, changed, demand, reservations, waiting, lent, borrowed, asked, nextAskAt);
  }

  AccountState withDemand(DemandEstimate changed) {
    return new AccountState(
        name, bucket, changed, reservations, waiting, lent, borrowed, asked, nextAskAt);
  }

  AccountState withReservations(PMap<RequestIdentifier, Reservation> changed) {
    return new AccountState(
        name, bucket, demand, changed, waiting, lent, borrowed, asked, nextAskAt);
  }

  AccountState withWaiting(PVector<WaitingRequest> changed) {
    return new AccountState(
        name, bucket, demand, reservations, changed, lent, borrowed, asked, nextAskAt);
  }

  AccountState withLoans(
      PMap<LoanIdentifier, LentLoan> given, PMap<LoanIdentifier, BorrowedLoan> taken) {
    return new AccountState(
        name, bucket, demand, reservations, waiting, given, taken, asked, nextAskAt);
  }

  AccountState withAsked(PMap<Long, PendingAsk> changed, MonotonicTime next) {
    return new AccountState(
        name, bucket, demand, reservations, waiting, lent, borrowed, changed, next);
  }

  /**
   * An admitted request.
   *
   * @param microtokens the tokens that were charged
   * @param mark the mark of the charge in the bucket's history
   */
  record Reservation(long microtokens, long mark) {}

  /**
   * A request that waits for tokens.
   *
   * @param request the request
   * @param microtokens the tokens that it needs
   * @param deadline when it is refused
   */
  record WaitingRequest(RequestIdentifier request, long microtokens, MonotonicTime deadline) {}

  /**
   * A loan that this host gave.
   *
   * @param parts the parts
   * @param until when the parts may be used here again
   */
  record LentLoan(long parts, MonotonicTime until) {}

  /**
   * A loan that this host took.
   *
   * @param lender the host that gave it
   * @param parts the parts
   * @param until before when the parts may be used here
   */
  record BorrowedLoan(HostName lender, long parts, MonotonicTime until) {}

  /**
   * A request for a loan that may still be answered.
   *
   * @param lender the host that was asked
   * @param sentAt when it was asked
   * @param renewed the loan that is to be renewed; empty if there is none
   * @param returned whether that loan has been returned since and must not come back into use
   */
  record PendingAsk(
      HostName lender, MonotonicTime sentAt, Optional<LoanIdentifier> renewed, boolean returned) {

    /** Tells whether parts of a loan that answers this request may be used. */
    boolean admits(LoanIdentifier loan) {
      return !returned || renewed.filter(loan::equals).isEmpty();
    }

    /** Returns this request after a loan was returned. */
    PendingAsk afterReturnOf(LoanIdentifier loan) {
      boolean same = renewed.filter(loan::equals).isPresent();
      return new PendingAsk(lender, sentAt, renewed, returned || same);
    }
  }
}
