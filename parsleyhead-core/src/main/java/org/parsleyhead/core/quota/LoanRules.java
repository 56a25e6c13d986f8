package org.parsleyhead.core.quota;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.quota.AccountState.BorrowedLoan;
import org.parsleyhead.core.quota.AccountState.LentLoan;
import org.parsleyhead.core.quota.AccountState.PendingLoanRequest;
import org.parsleyhead.core.quota.LendingPolicy.Offer;
import org.pcollections.PMap;

/**
 * Requests, grants, accepts and returns loans of parts and tokens between hosts.
 *
 * <p>Stateless apart from its settings and thread-safe. The borrower may use the parts until the
 * loan duration, less the drift margin, has elapsed since before it sent its request. The lender
 * uses them again once the duration, plus the drift margin, has elapsed since the grant, or once
 * the borrower has returned them. A loan never outlasts the lender's right to its own share. Tokens
 * are deducted at the lender before they are credited at the borrower; a lost message loses them.
 */
final class LoanRules {

  private static final Duration MINIMUM_LOAN_DURATION = Duration.ofMillis(300);

  private static final long REQUESTED_PERCENT = 150;

  private final QuotaSettings settings;
  private final Duration driftMargin;
  private final LendingPolicy policy;
  private final DemandRules demandRules;

  LoanRules(
      QuotaSettings settings, Duration driftMargin, LendingPolicy policy, DemandRules demandRules) {
    this.settings = settings;
    this.driftMargin = driftMargin;
    this.policy = policy;
    this.demandRules = demandRules;
  }

  /** Requests missing parts and tokens from the other members if a loan request is due. */
  AccountState requestLoans(
      AccountState state,
      ShareState share,
      MonotonicTime time,
      long firstNumber,
      List<QuotaEffect> effects) {
    long others =
        share
            .rightsSnapshot()
            .map(rightsSnapshot -> rightsSnapshot.members().size() - 1L)
            .orElse(0L);
    if (time.isBefore(state.nextLoanRequestAt()) || others <= 0) {
      return state;
    }
    long parts = demandRules.missingParts(state, time);
    long tokens = demandRules.missingTokens(state, time);
    long spareCapacity = demandRules.spareCapacity(state);
    if (parts == 0 && tokens == 0) {
      return state;
    }
    PMap<Long, PendingLoanRequest> pendingLoanRequests =
        withoutOverdue(state.pendingLoanRequests(), time);
    long number = firstNumber;
    for (HostName member : share.rightsSnapshot().get().members()) {
      if (!member.equals(settings.self())) {
        Optional<LoanIdentifier> renewed = state.borrowedFrom(member);
        pendingLoanRequests =
            pendingLoanRequests.plus(number, new PendingLoanRequest(member, time, renewed, false));
        long held = renewed.map(loan -> state.borrowed().get(loan).parts()).orElse(0L);
        LoanRequest request =
            new LoanRequest(
                number,
                state.name(),
                amountPerLender(parts, others) + held,
                amountPerLender(tokens, others),
                spareCapacity / others,
                renewed);
        effects.add(new QuotaEffect.Send(member, request));
        number++;
      }
    }
    return state.withPendingLoanRequests(
        pendingLoanRequests, time.plus(settings.loanRequestInterval()));
  }

  /**
   * Answers a loan request, if there is anything to lend. A request for tokens also makes this host
   * return a spare loan of the sender.
   */
  AccountState lend(
      AccountState state,
      ShareState share,
      Sender sender,
      LoanRequest request,
      MonotonicTime time,
      long number,
      List<QuotaEffect> effects) {
    AccountState current =
        request.microtokens() > 0 ? returnLoan(state, share, sender.host(), time, effects) : state;
    if (share.parts() == 0 || !share.isUsable(time) || !current.waiting().isEmpty()) {
      return current;
    }
    Duration duration = loanDuration(share, time);
    Optional<LoanIdentifier> renewed = request.renewedLoan().filter(current.lent()::containsKey);
    long renewedParts = renewed.map(loan -> current.lent().get(loan).parts()).orElse(0L);
    Offer offer = offer(current, share, request, renewedParts, time);
    boolean worthwhile =
        duration.compareTo(MINIMUM_LOAN_DURATION) >= 0 && offer.parts() >= renewedParts;
    long parts = worthwhile ? offer.parts() : 0;
    if (parts == 0 && offer.microtokens() == 0) {
      return current;
    }
    LoanIdentifier loan =
        renewed
            .filter(known -> parts > 0)
            .orElse(new LoanIdentifier(settings.incarnation(), number));
    LentLoan entry = new LentLoan(parts, time.plus(duration).plus(driftMargin));
    AccountState lent =
        parts == 0
            ? current
            : current.withLoans(current.lent().plus(loan, entry), current.borrowed());
    return grant(lent, share, sender, request, loan, parts, offer, duration, effects);
  }

  /** Accepts a loan that answers a pending request of this process; any other is ignored. */
  AccountState accept(
      AccountState state, ShareState share, Sender sender, LoanGrant grant, MonotonicTime time) {
    PendingLoanRequest pending = state.pendingLoanRequests().get(grant.requestNumber());
    boolean expected =
        pending != null
            && pending.lender().equals(sender.host())
            && grant.borrower().equals(settings.incarnation());
    if (!expected) {
      return state;
    }
    AccountState answered =
        state.withPendingLoanRequests(
            state.pendingLoanRequests().minus(grant.requestNumber()), state.nextLoanRequestAt());
    MonotonicTime expiresAt = pending.sentAt().plus(grant.duration()).minus(driftMargin);
    if (grant.parts() > 0 && pending.accepts(grant.loan()) && time.isBefore(expiresAt)) {
      BorrowedLoan loan = new BorrowedLoan(sender.host(), grant.parts(), expiresAt);
      answered = answered.withLoans(answered.lent(), answered.borrowed().plus(grant.loan(), loan));
    }
    AccountState resized = LoanAccounting.withParts(answered, share.parts());
    return resized.withBucket(resized.bucket().credit(grant.microtokens()));
  }

  /** Takes back the parts and tokens of a loan that its borrower has returned. */
  AccountState acceptReturn(AccountState state, ShareState share, LoanReturn returned) {
    if (!state.lent().containsKey(returned.loan())) {
      return state;
    }
    AccountState without = state.withLoans(state.lent().minus(returned.loan()), state.borrowed());
    AccountState resized = LoanAccounting.withParts(without, share.parts());
    return resized.withBucket(resized.bucket().credit(returned.microtokens()));
  }

  /** Returns borrowed loans that expire soon, so that their tokens are not lost. */
  AccountState returnExpiring(
      AccountState state, ShareState share, MonotonicTime time, List<QuotaEffect> effects) {
    AccountState current = state;
    for (Map.Entry<LoanIdentifier, BorrowedLoan> entry : state.borrowed().entrySet()) {
      Duration remaining = entry.getValue().expiresAt().since(time);
      if (remaining.compareTo(MINIMUM_LOAN_DURATION) < 0) {
        current = returnLoan(current, share, entry.getKey(), time, effects);
      }
    }
    return current;
  }

  private AccountState returnLoan(
      AccountState state,
      ShareState share,
      HostName lender,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    Optional<LoanIdentifier> loan = state.borrowedFrom(lender);
    long needed = demandRules.requiredParts(state, time);
    long kept =
        state.bucket().parts() - loan.map(known -> state.borrowed().get(known).parts()).orElse(0L);
    boolean filled =
        state.bucket().level() >= state.bucket().capacity() / 2
            && kept >= demandRules.refundParts(state);
    boolean spare = loan.isPresent() && state.waiting().isEmpty() && (filled || kept >= needed);
    return spare ? returnLoan(state, share, loan.get(), time, effects) : state;
  }

  private AccountState returnLoan(
      AccountState state,
      ShareState share,
      LoanIdentifier loan,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    BorrowedLoan borrowed = state.borrowed().get(loan);
    long capacityOfLoan = state.limits().capacity(borrowed.parts());
    long spare = Math.max(0, state.bucket().level() - demandRules.tokenReserve(state, time));
    AccountState without = state.withLoans(state.lent(), state.borrowed().minus(loan));
    long capacity =
        state.limits().capacity(LoanAccounting.withParts(without, share.parts()).bucket().parts());
    long excess = excess(state, capacity);
    long proportion = state.bucket().proportionalTokens(borrowed.parts());
    long tokens = Math.min(capacityOfLoan, Math.max(Math.max(excess, proportion), spare));
    effects.add(
        new QuotaEffect.Send(borrowed.lender(), new LoanReturn(state.name(), loan, tokens)));
    AccountState charged = without.withBucket(without.bucket().charge(tokens));
    AccountState updated =
        charged.withPendingLoanRequests(
            withReturned(charged.pendingLoanRequests(), loan), charged.nextLoanRequestAt());
    return LoanAccounting.withParts(updated, share.parts());
  }

  private Offer offer(
      AccountState state,
      ShareState share,
      LoanRequest request,
      long renewedParts,
      MonotonicTime time) {
    long unlent = share.parts() - state.lentParts() + renewedParts;
    long free = Math.max(0, unlent - demandRules.refundParts(state));
    Offer offer =
        policy.decide(
            new LendingContext(
                free,
                state.demand().parts(state.limits(), time),
                state.bucket().capacity(),
                state.bucket().level(),
                state.demand().microtokensPerSecond(time),
                request.parts(),
                request.microtokens()));
    return new Offer(
        Math.min(offer.parts(), free), Math.min(offer.microtokens(), state.bucket().level()));
  }

  private AccountState grant(
      AccountState state,
      ShareState share,
      Sender borrower,
      LoanRequest request,
      LoanIdentifier loan,
      long parts,
      Offer offer,
      Duration duration,
      List<QuotaEffect> effects) {
    long keptParts = LoanAccounting.withParts(state, share.parts()).bucket().parts();
    long excess = parts == 0 ? 0 : excess(state, state.limits().capacity(keptParts));
    long proportion = state.bucket().proportionalTokens(state.bucket().parts() - keptParts);
    long tokens =
        Math.max(
            Math.max(excess, proportion),
            Math.min(
                offer.microtokens(), request.spareCapacity() + state.limits().capacity(parts)));
    LoanGrant grant =
        new LoanGrant(
            request.number(), borrower.incarnation(), state.name(), loan, parts, tokens, duration);
    effects.add(new QuotaEffect.Send(borrower.host(), grant));
    return LoanAccounting.withParts(state.withBucket(state.bucket().charge(tokens)), share.parts());
  }

  /** Returns the tokens to transfer so that the expected refunds fit into a smaller bucket. */
  private long excess(AccountState state, long capacity) {
    long room = Math.max(0, capacity - demandRules.expectedRefunds(state));
    return Math.max(0, state.bucket().level() - room);
  }

  /**
   * Returns the amount to request from each of several hosts. The total may exceed what is missing,
   * since not all hosts will lend.
   */
  private static long amountPerLender(long missing, long hosts) {
    return Math.min(missing, missing * REQUESTED_PERCENT / 100 / hosts + 1);
  }

  private Duration loanDuration(ShareState share, MonotonicTime time) {
    Duration remaining = share.usableUntil().get().since(time);
    return remaining.compareTo(settings.loanDuration()) < 0 ? remaining : settings.loanDuration();
  }

  private PMap<Long, PendingLoanRequest> withoutOverdue(
      PMap<Long, PendingLoanRequest> pendingLoanRequests, MonotonicTime time) {
    PMap<Long, PendingLoanRequest> remaining = pendingLoanRequests;
    for (Map.Entry<Long, PendingLoanRequest> entry : pendingLoanRequests.entrySet()) {
      if (time.since(entry.getValue().sentAt()).compareTo(settings.loanDuration()) > 0) {
        remaining = remaining.minus(entry.getKey());
      }
    }
    return remaining;
  }

  /** Marks a loan as returned in all pending requests. */
  private static PMap<Long, PendingLoanRequest> withReturned(
      PMap<Long, PendingLoanRequest> pendingLoanRequests, LoanIdentifier loan) {
    PMap<Long, PendingLoanRequest> updated = pendingLoanRequests;
    for (Map.Entry<Long, PendingLoanRequest> entry : pendingLoanRequests.entrySet()) {
      updated = updated.plus(entry.getKey(), entry.getValue().afterReturnOf(loan));
    }
    return updated;
  }
}
