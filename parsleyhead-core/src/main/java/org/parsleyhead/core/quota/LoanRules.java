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
import org.parsleyhead.core.quota.AccountState.PendingAsk;
import org.parsleyhead.core.quota.LendingPolicy.Offer;
import org.pcollections.PMap;

/**
 * Moves parts and tokens between hosts.
 *
 * <p>Stateless apart from its settings and thread-safe. Parts are used by the borrower until the
 * duration has passed since before its request, less the drift margin, and by the lender again when
 * it has passed since the grant, plus the drift margin, or when the borrower has returned them. A
 * loan never outlasts the right of the lender to its own share. Tokens are taken out at the lender
 * before they come in at the borrower; a lost message loses them.
 */
final class LoanRules {

  private static final Duration SHORTEST_LOAN = Duration.ofMillis(300);

  private static final long PORTION_PERCENT = 150;

  private final QuotaSettings settings;
  private final Duration driftMargin;
  private final LendingPolicy policy;
  private final Needs needs;

  LoanRules(QuotaSettings settings, Duration driftMargin, LendingPolicy policy, Needs needs) {
    this.settings = settings;
    this.driftMargin = driftMargin;
    this.policy = policy;
    this.needs = needs;
  }

  /** Asks the other members for what is lacking, if a request for loans is due. */
  AccountState ask(
      AccountState state,
      ShareState share,
      MonotonicTime time,
      long firstNumber,
      List<QuotaEffect> effects) {
    long others = share.standing().map(standing -> standing.members().size() - 1L).orElse(0L);
    if (time.isBefore(state.nextAskAt()) || others <= 0) {
      return state;
    }
    long parts = needs.lackingParts(state, time);
    long tokens = needs.lackingTokens(state, time);
    long room = needs.room(state);
    if (parts == 0 && tokens == 0) {
      return state;
    }
    PMap<Long, PendingAsk> asked = withoutOverdue(state.asked(), time);
    long number = firstNumber;
    for (HostName member : share.standing().get().members()) {
      if (!member.equals(settings.self())) {
        Optional<LoanIdentifier> renewed = state.borrowedFrom(member);
        asked = asked.plus(number, new PendingAsk(member, time, renewed, false));
        long held = renewed.map(loan -> state.borrowed().get(loan).parts()).orElse(0L);
        LoanRequest request =
            new LoanRequest(
                number,
                state.name(),
                portion(parts, others) + held,
                portion(tokens, others),
                room / others,
                renewed);
        effects.add(new QuotaEffect.Send(member, request));
        number++;
      }
    }
    return state.withAsked(asked, time.plus(settings.loanRequestInterval()));
  }

  /** Answers a request for a loan. */
  AccountState lend(
      AccountState state,
      ShareState share,
      Sender sender,
      LoanRequest request,
      MonotonicTime time,
      long number,
      List<QuotaEffect> effects) {
    AccountState current =
        request.microtokens() > 0 ? giveBack(state, share, sender.host(), time, effects) : state;
    if (share.parts() == 0 || !share.isUsable(time) || !current.waiting().isEmpty()) {
      return current;
    }
    Duration duration = loanDuration(share, time);
    Optional<LoanIdentifier> renewed = request.renewed().filter(current.lent()::containsKey);
    long renewedParts = renewed.map(loan -> current.lent().get(loan).parts()).orElse(0L);
    Offer offer = offer(current, share, request, renewedParts, time);
    boolean worth = duration.compareTo(SHORTEST_LOAN) >= 0 && offer.parts() >= renewedParts;
    long parts = worth ? offer.parts() : 0;
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
    return handOver(lent, share, sender, request, loan, parts, offer, duration, effects);
  }

  /** Takes up a loan that answers one of this host's requests. */
  AccountState accept(
      AccountState state, ShareState share, Sender sender, LoanGrant grant, MonotonicTime time) {
    PendingAsk ask = state.asked().get(grant.requestNumber());
    boolean expected =
        ask != null
            && ask.lender().equals(sender.host())
            && grant.borrower().equals(settings.incarnation());
    if (!expected) {
      return state;
    }
    AccountState answered =
        state.withAsked(state.asked().minus(grant.requestNumber()), state.nextAskAt());
    MonotonicTime until = ask.sentAt().plus(grant.duration()).minus(driftMargin);
    if (grant.parts() > 0 && ask.admits(grant.loan()) && time.isBefore(until)) {
      BorrowedLoan loan = new BorrowedLoan(sender.host(), grant.parts(), until);
      answered = answered.withLoans(answered.lent(), answered.borrowed().plus(grant.loan(), loan));
    }
    AccountState resized = LoanBook.withParts(answered, share.parts());
    return resized.withBucket(resized.bucket().receive(grant.microtokens()));
  }

  /** Takes parts back that a borrower has returned. */
  AccountState takeBack(AccountState state, ShareState share, LoanReturn returned) {
    if (!state.lent().containsKey(returned.loan())) {
      return state;
    }
    AccountState without = state.withLoans(state.lent().minus(returned.loan()), state.borrowed());
    AccountState resized = LoanBook.withParts(without, share.parts());
    return resized.withBucket(resized.bucket().receive(returned.microtokens()));
  }

  /** Returns the loans that end soon, so that their tokens are not lost. */
  AccountState giveBackEnding(
      AccountState state, ShareState share, MonotonicTime time, List<QuotaEffect> effects) {
    AccountState current = state;
    for (Map.Entry<LoanIdentifier, BorrowedLoan> entry : state.borrowed().entrySet()) {
      Duration left = entry.getValue().until().since(time);
      if (left.compareTo(SHORTEST_LOAN) < 0) {
        current = giveBack(current, share, entry.getKey(), time, effects);
      }
    }
    return current;
  }

  private AccountState giveBack(
      AccountState state,
      ShareState share,
      HostName lender,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    Optional<LoanIdentifier> loan = state.borrowedFrom(lender);
    long needed = needs.neededParts(state, time);
    long kept =
        state.bucket().parts() - loan.map(known -> state.borrowed().get(known).parts()).orElse(0L);
    boolean filled =
        state.bucket().level() >= state.bucket().capacity() / 2 && kept >= needs.refundParts(state);
    boolean spare = loan.isPresent() && state.waiting().isEmpty() && (filled || kept >= needed);
    return spare ? giveBack(state, share, loan.get(), time, effects) : state;
  }

  private AccountState giveBack(
      AccountState state,
      ShareState share,
      LoanIdentifier loan,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    BorrowedLoan borrowed = state.borrowed().get(loan);
    long most = state.limits().capacity(borrowed.parts());
    long spare = Math.max(0, state.bucket().level() - needs.tokenReserve(state, time));
    AccountState without = state.withLoans(state.lent(), state.borrowed().minus(loan));
    long capacity =
        state.limits().capacity(LoanBook.withParts(without, share.parts()).bucket().parts());
    long excess = excess(state, capacity);
    long proportion = state.bucket().portion(borrowed.parts());
    long tokens = Math.min(most, Math.max(Math.max(excess, proportion), spare));
    effects.add(
        new QuotaEffect.Send(borrowed.lender(), new LoanReturn(state.name(), loan, tokens)));
    AccountState charged = without.withBucket(without.bucket().charge(tokens));
    AccountState unasked =
        charged.withAsked(withReturned(charged.asked(), loan), charged.nextAskAt());
    return LoanBook.withParts(unasked, share.parts());
  }

  private Offer offer(
      AccountState state,
      ShareState share,
      LoanRequest request,
      long renewedParts,
      MonotonicTime time) {
    long unlent = share.parts() - state.lentParts() + renewedParts;
    long free = Math.max(0, unlent - needs.refundParts(state));
    Offer offer =
        policy.decide(
            new LendingView(
                free,
                state.demand().parts(state.limits(), time),
                state.bucket().capacity(),
                state.bucket().level(),
                state.demand().perSecond(time),
                request.parts(),
                request.microtokens()));
    return new Offer(
        Math.min(offer.parts(), free), Math.min(offer.microtokens(), state.bucket().level()));
  }

  private AccountState handOver(
      AccountState state,
      ShareState share,
      Sender borrower,
      LoanRequest request,
      LoanIdentifier loan,
      long parts,
      Offer offer,
      Duration duration,
      List<QuotaEffect> effects) {
    long keptParts = LoanBook.withParts(state, share.parts()).bucket().parts();
    long excess = parts == 0 ? 0 : excess(state, state.limits().capacity(keptParts));
    long proportion = state.bucket().portion(state.bucket().parts() - keptParts);
    long tokens =
        Math.max(
            Math.max(excess, proportion),
            Math.min(offer.microtokens(), request.room() + state.limits().capacity(parts)));
    LoanGrant grant =
        new LoanGrant(
            request.number(), borrower.incarnation(), state.name(), loan, parts, tokens, duration);
    effects.add(new QuotaEffect.Send(borrower.host(), grant));
    return LoanBook.withParts(state.withBucket(state.bucket().charge(tokens)), share.parts());
  }

  /** Returns the tokens that leave no room for expected refunds in a smaller bucket. */
  private long excess(AccountState state, long capacity) {
    long room = Math.max(0, capacity - needs.expectedRefunds(state));
    return Math.max(0, state.bucket().level() - room);
  }

  /** Returns what one of several hosts is asked for, since not all will lend. */
  private static long portion(long lacking, long hosts) {
    return Math.min(lacking, lacking * PORTION_PERCENT / 100 / hosts + 1);
  }

  private Duration loanDuration(ShareState share, MonotonicTime time) {
    Duration right = share.rightUntil().get().since(time);
    return right.compareTo(settings.loanDuration()) < 0 ? right : settings.loanDuration();
  }

  private PMap<Long, PendingAsk> withoutOverdue(PMap<Long, PendingAsk> asked, MonotonicTime time) {
    PMap<Long, PendingAsk> remaining = asked;
    for (Map.Entry<Long, PendingAsk> entry : asked.entrySet()) {
      if (time.since(entry.getValue().sentAt()).compareTo(settings.loanDuration()) > 0) {
        remaining = remaining.minus(entry.getKey());
      }
    }
    return remaining;
  }

  /** Notes for all requests under way that a loan has been returned. */
  private static PMap<Long, PendingAsk> withReturned(
      PMap<Long, PendingAsk> asked, LoanIdentifier loan) {
    PMap<Long, PendingAsk> noted = asked;
    for (Map.Entry<Long, PendingAsk> entry : asked.entrySet()) {
      noted = noted.plus(entry.getKey(), entry.getValue().afterReturnOf(loan));
    }
    return noted;
  }
}
