package org.parsleyhead.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.pcollections.PMap;

/**
 * Keeps the rate and burst of each client account over all hosts of a cell together.
 *
 * <p>Stateless apart from its settings and thread-safe. Over any time the tokens that all hosts
 * admit for an account are at most its burst and what its rate gives in that time, whatever is
 * lost, delayed, doubled, paused, restarted or cut off. The times of events must not go back.
 */
public final class QuotaTransition implements Transition<QuotaState, QuotaEvent, QuotaEffect> {

  private final ShareRules shares;
  private final AdmissionRules admission;
  private final LoanRules loans;

  /** Creates the transition of one host. */
  public QuotaTransition(QuotaSettings settings, LendingPolicy policy) {
    Preconditions.requireNonNull(settings, "settings");
    Preconditions.requireNonNull(policy, "policy");
    this.shares = new ShareRules(settings, settings.installWait());
    this.admission = new AdmissionRules(settings, TokenBucket::refund);
    this.loans = new LoanRules(settings, settings.driftMargin(), policy, new Needs());
  }

  QuotaTransition(ShareRules shares, AdmissionRules admission, LoanRules loans) {
    this.shares = shares;
    this.admission = admission;
    this.loans = loans;
  }

  @Override
  public Step<QuotaState, QuotaEffect> apply(
      QuotaState state, QuotaEvent event, MonotonicTime time) {
    List<QuotaEffect> effects = new ArrayList<>();
    return new Step<>(next(state, event, time, effects), effects);
  }

  private QuotaState next(
      QuotaState state, QuotaEvent event, MonotonicTime time, List<QuotaEffect> effects) {
    if (event instanceof QuotaEvent.Reserve reserve) {
      return reserve(state, reserve, time, effects);
    } else if (event instanceof QuotaEvent.Settle settle) {
      long used = QuotaUnits.microtokens(settle.tokens());
      return change(
          state,
          settle.account(),
          time,
          effects,
          account -> admission.settle(account, settle.request(), used));
    } else if (event instanceof QuotaEvent.Release release) {
      return change(
          state,
          release.account(),
          time,
          effects,
          account -> admission.settle(account, release.request(), 0));
    } else if (event instanceof QuotaEvent.MessageReceived received) {
      return receive(state, received.sender(), received.message(), time, effects);
    } else if (event instanceof QuotaEvent.StandingChanged changed) {
      ShareState heard = shares.hear(state.share(), changed.standing(), time);
      QuotaState advanced = share(state, heard, false, time, effects);
      effects.add(new QuotaEffect.StandingApplied(changed.sequence()));
      return advanced;
    } else if (event instanceof QuotaEvent.LimitsDeclared declared) {
      return declare(state, declared.account(), declared.limits(), time, effects);
    } else if (event instanceof QuotaEvent.AccountDeleted deleted) {
      return declare(state, deleted.account(), Limits.deleted(deleted.ticket()), time, effects);
    } else {
      return tick(state, time, effects);
    }
  }

  private QuotaState reserve(
      QuotaState state, QuotaEvent.Reserve event, MonotonicTime time, List<QuotaEffect> effects) {
    AccountState known = state.accounts().get(event.account());
    if (known == null || known.limits().isEmpty()) {
      effects.add(
          new QuotaEffect.Refused(event.request(), RefusalReason.UNKNOWN_ACCOUNT, Duration.ZERO));
      return state;
    }
    return change(
        state,
        event.account(),
        time,
        effects,
        account -> admission.queue(account, event, time, effects));
  }

  private QuotaState receive(
      QuotaState state,
      Sender sender,
      PeerMessage message,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    if (message instanceof QuotaNotice notice) {
      ShareState merged = shares.merge(state.share(), sender, notice);
      boolean replaced = !merged.cuts().base().equals(state.share().cuts().base());
      return share(state, merged, replaced, time, effects);
    } else if (message instanceof LoanRequest request) {
      ShareState share = state.share();
      long number = state.nextNumber();
      return change(
          state.withNextNumber(number + 1),
          request.account(),
          time,
          effects,
          account -> loans.lend(account, share, sender, request, time, number, effects));
    } else if (message instanceof LoanGrant grant) {
      ShareState share = state.share();
      return change(
          state,
          grant.account(),
          time,
          effects,
          account -> loans.accept(account, share, sender, grant, time));
    } else if (message instanceof LoanReturn returned) {
      ShareState share = state.share();
      return change(
          state,
          returned.account(),
          time,
          effects,
          account -> loans.takeBack(account, share, returned));
    }
    return state;
  }

  private QuotaState tick(QuotaState state, MonotonicTime time, List<QuotaEffect> effects) {
    QuotaState current = share(state, state.share(), false, time, effects);
    ShareState share = current.share();
    for (AccountState account : current.accounts().values()) {
      if (isActive(account, time)) {
        current =
            change(
                current,
                account.name(),
                time,
                effects,
                known -> loans.giveBackEnding(known, share, time, effects));
      }
    }
    return current;
  }

  /** Tells whether time alone can change what is to be done for an account. */
  private static boolean isActive(AccountState account, MonotonicTime time) {
    return !account.waiting().isEmpty()
        || !account.borrowed().isEmpty()
        || account.demand().perSecond(time) >= QuotaUnits.MICROTOKENS_PER_TOKEN;
  }

  /** A deleted account keeps its state, since parts of it may be lent. */
  private QuotaState declare(
      QuotaState state,
      ClientAccountName name,
      Limits limits,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    AccountState known = state.accounts().get(name);
    if (known == null) {
      AccountState created = AccountState.initial(name, limits, time);
      return state.withAccount(LoanBook.withParts(created, state.share().parts()));
    }
    if (!limits.ticket().supersedes(known.limits().ticket())) {
      return state;
    }
    return change(state, name, time, effects, account -> admission.limit(account, limits, effects));
  }

  /** Takes up a changed share; the buckets keep their tokens only if no cut was skipped. */
  private QuotaState share(
      QuotaState state,
      ShareState changed,
      boolean emptied,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    long before = state.share().parts();
    ShareState advanced = shares.notify(shares.advance(changed, time), time, effects);
    QuotaState next = state.withShare(advanced);
    if (before == advanced.parts() && !emptied) {
      return next;
    }
    PMap<ClientAccountName, AccountState> accounts = state.accounts();
    for (AccountState account : state.accounts().values()) {
      AccountState current = LoanBook.advance(account, before, time);
      AccountState kept = emptied ? current.withBucket(current.bucket().emptied()) : current;
      accounts = accounts.plus(account.name(), LoanBook.withParts(kept, advanced.parts()));
    }
    return next.withAccounts(accounts);
  }

  /** Changes one account, then admits, refuses and asks for what follows. */
  private QuotaState change(
      QuotaState state,
      ClientAccountName name,
      MonotonicTime time,
      List<QuotaEffect> effects,
      UnaryOperator<AccountState> change) {
    AccountState known = state.accounts().get(name);
    if (known == null) {
      return state;
    }
    ShareState share = state.share();
    AccountState current = LoanBook.advance(known, share.parts(), time);
    current = admission.admit(change.apply(current), share, time, effects);
    current = admission.refuseOverdue(current, share, time, effects);
    int sent = effects.size();
    current = loans.ask(current, share, time, state.nextNumber(), effects);
    return state.withAccount(current).withNextNumber(state.nextNumber() + effects.size() - sent);
  }
}
