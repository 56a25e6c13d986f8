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
 * Enforces the rate and burst of each client account across all hosts of a cell.
 *
 * <p>Stateless apart from its settings and thread-safe. In any time window, the tokens that all
 * hosts admit for an account are at most its burst plus what its rate yields in that window. This
 * holds under lost, delayed and duplicated messages, paused and restarted processes and network
 * partitions. The times of events must be monotonic.
 */
public final class QuotaTransition implements Transition<QuotaState, QuotaEvent, QuotaEffect> {

  private final ShareRules shares;
  private final AdmissionRules admission;
  private final LoanRules loans;

  /** Creates the transition of one host with the given lending policy. */
  public QuotaTransition(QuotaSettings settings, LendingPolicy policy) {
    Preconditions.requireNonNull(settings, "settings");
    Preconditions.requireNonNull(policy, "policy");
    this.shares = new ShareRules(settings, settings.installDelay());
    this.admission = new AdmissionRules(settings, TokenBucket::refund);
    this.loans = new LoanRules(settings, settings.driftMargin(), policy, new DemandRules());
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
      return updateAccount(
          state,
          settle.account(),
          time,
          effects,
          account -> admission.settle(account, settle.request(), used));
    } else if (event instanceof QuotaEvent.Release release) {
      return updateAccount(
          state,
          release.account(),
          time,
          effects,
          account -> admission.settle(account, release.request(), 0));
    } else if (event instanceof QuotaEvent.MessageReceived received) {
      return receive(state, received.sender(), received.message(), time, effects);
    } else if (event instanceof QuotaEvent.RightsChanged changed) {
      ShareState updated = shares.applyRights(state.share(), changed.rightsSnapshot(), time);
      QuotaState advanced = applyShare(state, updated, false, time, effects);
      effects.add(new QuotaEffect.RightsApplied(changed.sequence()));
      return advanced;
    } else if (event instanceof QuotaEvent.LimitsDeclared declared) {
      return applyLimits(state, declared.account(), declared.limits(), time, effects);
    } else if (event instanceof QuotaEvent.AccountDeleted deleted) {
      return applyLimits(state, deleted.account(), Limits.deleted(deleted.ticket()), time, effects);
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
    return updateAccount(
        state,
        event.account(),
        time,
        effects,
        account -> admission.enqueue(account, event, time, effects));
  }

  private QuotaState receive(
      QuotaState state,
      Sender sender,
      PeerMessage message,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    if (message instanceof QuotaNotice notice) {
      ShareState merged = shares.receiveNotice(state.share(), sender, notice);
      boolean replaced =
          !merged.allocations().installed().equals(state.share().allocations().installed());
      return applyShare(state, merged, replaced, time, effects);
    } else if (message instanceof LoanRequest request) {
      ShareState share = state.share();
      long number = state.nextNumber();
      return updateAccount(
          state.withNextNumber(number + 1),
          request.account(),
          time,
          effects,
          account -> loans.lend(account, share, sender, request, time, number, effects));
    } else if (message instanceof LoanGrant grant) {
      ShareState share = state.share();
      return updateAccount(
          state,
          grant.account(),
          time,
          effects,
          account -> loans.accept(account, share, sender, grant, time));
    } else if (message instanceof LoanReturn returned) {
      ShareState share = state.share();
      return updateAccount(
          state,
          returned.account(),
          time,
          effects,
          account -> loans.acceptReturn(account, share, returned));
    }
    return state;
  }

  private QuotaState tick(QuotaState state, MonotonicTime time, List<QuotaEffect> effects) {
    QuotaState current = applyShare(state, state.share(), false, time, effects);
    ShareState share = current.share();
    for (AccountState account : current.accounts().values()) {
      if (needsTick(account, time)) {
        current =
            updateAccount(
                current,
                account.name(),
                time,
                effects,
                known -> loans.returnExpiring(known, share, time, effects));
      }
    }
    return current;
  }

  /** Returns whether the passing of time alone can produce effects for an account. */
  private static boolean needsTick(AccountState account, MonotonicTime time) {
    return !account.waiting().isEmpty()
        || !account.borrowed().isEmpty()
        || account.demand().microtokensPerSecond(time) >= QuotaUnits.MICROTOKENS_PER_TOKEN;
  }

  /**
   * Applies the limits of a new or known account. A deleted account keeps its state, since parts of
   * its limits may be on loan.
   */
  private QuotaState applyLimits(
      QuotaState state,
      ClientAccountName name,
      Limits limits,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    AccountState known = state.accounts().get(name);
    if (known == null) {
      AccountState created = AccountState.initial(name, limits, time);
      return state.withAccount(LoanAccounting.withParts(created, state.share().parts()));
    }
    if (!limits.ticket().supersedes(known.limits().ticket())) {
      return state;
    }
    return updateAccount(
        state, name, time, effects, account -> admission.applyLimits(account, limits, effects));
  }

  /**
   * Applies a changed share to all accounts. The buckets keep their tokens unless another host
   * reported a different installed allocation, since allocations may have been skipped.
   */
  private QuotaState applyShare(
      QuotaState state,
      ShareState changed,
      boolean emptied,
      MonotonicTime time,
      List<QuotaEffect> effects) {
    long before = state.share().parts();
    ShareState advanced = shares.sendNotices(shares.advance(changed, time), time, effects);
    QuotaState next = state.withShare(advanced);
    if (before == advanced.parts() && !emptied) {
      return next;
    }
    PMap<ClientAccountName, AccountState> accounts = state.accounts();
    for (AccountState account : state.accounts().values()) {
      AccountState current = LoanAccounting.advance(account, before, time);
      AccountState kept = emptied ? current.withBucket(current.bucket().emptied()) : current;
      accounts = accounts.plus(account.name(), LoanAccounting.withParts(kept, advanced.parts()));
    }
    return next.withAccounts(accounts);
  }

  /**
   * Updates one account, then admits the requests that its tokens cover, refuses the expired ones
   * and requests loans for the rest.
   */
  private QuotaState updateAccount(
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
    AccountState current = LoanAccounting.advance(known, share.parts(), time);
    current = admission.admit(change.apply(current), share, time, effects);
    current = admission.refuseExpired(current, share, time, effects);
    int sent = effects.size();
    current = loans.requestLoans(current, share, time, state.nextNumber(), effects);
    return state.withAccount(current).withNextNumber(state.nextNumber() + effects.size() - sent);
  }
}
