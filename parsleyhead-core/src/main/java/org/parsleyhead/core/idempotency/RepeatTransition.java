package org.parsleyhead.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.request.RepeatCheckResult;

/**
 * Decides whether a request that is not idempotent is the first with its repeat key or a duplicate.
 *
 * <p>Stateless and thread-safe. Invariant: within the window, at most one of all unreleased
 * requests with equal repeat keys receives {@link RepeatCheckResult#FIRST}, whichever hosts they
 * arrive on. Any two majorities of one member list have a member in common, a member never grants
 * two claims with equal repeat keys, and a process that may have lost records does not count.
 */
public final class RepeatTransition implements Transition<RepeatState, RepeatEvent, RepeatEffect> {

  @Override
  public Step<RepeatState, RepeatEffect> apply(
      RepeatState state, RepeatEvent event, MonotonicTime time) {
    if (event instanceof RepeatEvent.Check check) {
      return check(state, check, time);
    }
    if (event instanceof RepeatEvent.Release release) {
      return release(state, release.identifier());
    }
    if (event instanceof RepeatEvent.MessageReceived received) {
      return receive(state, received.sender(), received.message(), time);
    }
    if (event instanceof RepeatEvent.RightsChanged changed) {
      return resend(
          state.withMembership(
              state
                  .membership()
                  .withRightsSnapshot(changed.rightsSnapshot(), state.settings(), time)),
          time,
          true);
    }
    return tick(state, time);
  }

  private static Step<RepeatState, RepeatEffect> check(
      RepeatState state, RepeatEvent.Check check, MonotonicTime time) {
    long version = state.membership().rightsSnapshot().version();
    PendingClaim claim = PendingClaim.start(check.repeatKey(), time, version);
    return send(state.withClaim(check.identifier(), claim), check.identifier(), claim, time);
  }

  private static Step<RepeatState, RepeatEffect> release(
      RepeatState state, RequestIdentifier identifier) {
    PendingClaim claim = state.claims().get(identifier);
    if (claim == null) {
      return Step.of(state);
    }
    RepeatRelease release = new RepeatRelease(identifier, claim.repeatKey());
    List<RepeatEffect> effects = new ArrayList<>();
    for (HostName member : state.membership().rightsSnapshot().members()) {
      if (!member.equals(state.self())) {
        effects.add(new RepeatEffect.Send(member, release));
      }
    }
    return new Step<>(withoutRecordOf(state.withoutClaim(identifier), release), effects);
  }

  private static Step<RepeatState, RepeatEffect> receive(
      RepeatState state, HostName sender, PeerMessage message, MonotonicTime time) {
    if (message instanceof RepeatClaim claim) {
      VoteResult result = vote(state, claim, time);
      return Step.of(result.state(), new RepeatEffect.Send(sender, result.answer()));
    }
    if (message instanceof RepeatAnswer answer) {
      return receiveAnswer(state, sender, answer, time);
    }
    if (message instanceof RepeatRelease release) {
      return Step.of(withoutRecordOf(state, release));
    }
    return Step.of(state);
  }

  private static VoteResult vote(RepeatState state, RepeatClaim claim, MonotonicTime time) {
    boolean current =
        state.membership().active().filter(list -> list.version() == claim.version()).isPresent();
    RepeatRecord recorded = state.records().get(claim.repeatKey());
    if (recorded != null && !recorded.identifier().equals(claim.identifier())) {
      return new VoteResult(state, answer(claim, RepeatAnswer.Vote.DUPLICATE));
    }
    if (!current || recorded == null && state.recordCount() >= state.settings().maximumRecords()) {
      return new VoteResult(state, answer(claim, RepeatAnswer.Vote.DECLINED));
    }
    RepeatState next =
        recorded == null
            ? state.withRecord(claim.repeatKey(), new RepeatRecord(claim.identifier(), time))
            : state;
    boolean certain = state.membership().isCertain(time);
    return new VoteResult(
        next, answer(claim, certain ? RepeatAnswer.Vote.GRANTED : RepeatAnswer.Vote.UNCERTAIN));
  }

  private static Step<RepeatState, RepeatEffect> receiveAnswer(
      RepeatState state, HostName sender, RepeatAnswer answer, MonotonicTime time) {
    PendingClaim claim = state.claims().get(answer.identifier());
    if (claim == null || claim.decided()) {
      return Step.of(state);
    }
    boolean counts =
        answer.vote() == RepeatAnswer.Vote.DUPLICATE || answer.version() == claim.version();
    return counts
        ? decide(state, answer.identifier(), claim.withVote(sender, answer.vote()), time)
        : Step.of(state);
  }

  private static Step<RepeatState, RepeatEffect> decide(
      RepeatState state, RequestIdentifier identifier, PendingClaim claim, MonotonicTime time) {
    if (claim.hasDuplicate()) {
      return complete(state, identifier, claim, RepeatCheckResult.DUPLICATE);
    }
    if (isTimedOut(state, claim, time)) {
      return complete(state, identifier, claim, RepeatCheckResult.UNAVAILABLE);
    }
    Optional<MemberList> active = state.membership().active();
    boolean granted =
        active
            .filter(list -> list.version() == claim.version())
            .filter(list -> claim.grants() >= list.majority())
            .isPresent();
    return granted
        ? complete(state, identifier, claim, RepeatCheckResult.FIRST)
        : Step.of(state.withClaim(identifier, claim));
  }

  private static Step<RepeatState, RepeatEffect> complete(
      RepeatState state,
      RequestIdentifier identifier,
      PendingClaim claim,
      RepeatCheckResult result) {
    return Step.of(
        state.withClaim(identifier, claim.asDecided()),
        new RepeatEffect.Checked(identifier, result));
  }

  private static Step<RepeatState, RepeatEffect> tick(RepeatState state, MonotonicTime time) {
    MembershipView membership = state.membership().activate(state.settings(), time);
    return resend(expire(state.withMembership(membership), time), time, false);
  }

  private static Step<RepeatState, RepeatEffect> resend(
      RepeatState state, MonotonicTime time, boolean immediately) {
    Step<RepeatState, RepeatEffect> step = Step.of(state);
    for (Map.Entry<RequestIdentifier, PendingClaim> entry : state.claims().entrySet()) {
      PendingClaim claim = entry.getValue();
      if (claim.decided()) {
        continue;
      }
      Step<RepeatState, RepeatEffect> next;
      if (isTimedOut(step.state(), claim, time)) {
        next = complete(step.state(), entry.getKey(), claim, RepeatCheckResult.UNAVAILABLE);
      } else if (immediately
          || time.since(claim.lastSentAt()).compareTo(state.settings().resendInterval()) >= 0) {
        next = send(step.state(), entry.getKey(), claim.resentAt(time), time);
      } else {
        continue;
      }
      step = new Step<RepeatState, RepeatEffect>(next.state(), step.effects()).with(next.effects());
    }
    return step;
  }

  private static Step<RepeatState, RepeatEffect> send(
      RepeatState state, RequestIdentifier identifier, PendingClaim pending, MonotonicTime time) {
    PendingClaim claim = pending.underVersion(state.membership().rightsSnapshot().version());
    RepeatClaim message = new RepeatClaim(identifier, claim.repeatKey(), claim.version());
    List<RepeatEffect> effects = new ArrayList<>();
    for (HostName member :
        claim.membersWithoutVote(state.membership().rightsSnapshot().members())) {
      if (!member.equals(state.self())) {
        effects.add(new RepeatEffect.Send(member, message));
      }
    }
    VoteResult own = vote(state, message, time);
    Step<RepeatState, RepeatEffect> decided =
        decide(own.state(), identifier, claim.withVote(state.self(), own.answer().vote()), time);
    return new Step<RepeatState, RepeatEffect>(decided.state(), effects).with(decided.effects());
  }

  /** Returns whether votes may be too old to count, for example after a pause of the process. */
  private static boolean isTimedOut(RepeatState state, PendingClaim claim, MonotonicTime time) {
    return time.since(claim.startedAt()).compareTo(state.settings().timeout()) > 0;
  }

  private static RepeatState expire(RepeatState state, MonotonicTime time) {
    MonotonicTime horizon = time.minus(state.settings().window());
    RepeatState next = state;
    for (Map.Entry<String, RepeatRecord> entry : state.records().entrySet()) {
      if (entry.getValue().recordedAt().isBefore(horizon)) {
        next = next.withoutRecord(entry.getKey());
      }
    }
    for (Map.Entry<RequestIdentifier, PendingClaim> entry : state.claims().entrySet()) {
      if (entry.getValue().decided() && entry.getValue().startedAt().isBefore(horizon)) {
        next = next.withoutClaim(entry.getKey());
      }
    }
    return next;
  }

  private static RepeatState withoutRecordOf(RepeatState state, RepeatRelease release) {
    RepeatRecord recorded = state.records().get(release.repeatKey());
    return recorded != null && recorded.identifier().equals(release.identifier())
        ? state.withoutRecord(release.repeatKey())
        : state;
  }

  private static RepeatAnswer answer(RepeatClaim claim, RepeatAnswer.Vote vote) {
    return new RepeatAnswer(claim.identifier(), claim.version(), vote);
  }

  /**
   * The vote of this host on a claim.
   *
   * @param state the state after the vote
   * @param answer the answer that carries the vote
   */
  private record VoteResult(RepeatState state, RepeatAnswer answer) {}
}
