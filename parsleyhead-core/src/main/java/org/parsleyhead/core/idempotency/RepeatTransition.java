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
 * The decisions on repetitions.
 *
 * <p>Stateless and thread-safe. Invariant: within the window, of all requests with equal repeat
 * keys at most one is told {@link RepeatCheckResult#FIRST} without having been released, on
 * whatever hosts they arrive: two majorities of one member list have a member in common, a member
 * never grants two of them, and a process that may have forgotten one does not count.
 */
public final class RepeatTransition implements Transition<RepeatState, RepeatEvent, RepeatEffect> {

  @Override
  public Step<RepeatState, RepeatEffect> apply(
      RepeatState state, RepeatEvent event, MonotonicTime time) {
    if (event instanceof RepeatEvent.Check check) {
      return check(state, check, time);
    }
    if (event instanceof RepeatEvent.Forget forget) {
      return forget(state, forget.identifier());
    }
    if (event instanceof RepeatEvent.Received received) {
      return received(state, received.sender(), received.message(), time);
    }
    if (event instanceof RepeatEvent.StandingChanged changed) {
      return resend(
          state.with(state.views().with(changed.standing(), state.settings(), time)), time, true);
    }
    return tick(state, time);
  }

  private static Step<RepeatState, RepeatEffect> check(
      RepeatState state, RepeatEvent.Check check, MonotonicTime time) {
    long version = state.views().standing().version();
    PendingClaim claim = PendingClaim.start(check.repeatKey(), time, version);
    return send(state.withClaim(check.identifier(), claim), check.identifier(), claim, time);
  }

  private static Step<RepeatState, RepeatEffect> forget(
      RepeatState state, RequestIdentifier identifier) {
    PendingClaim claim = state.claims().get(identifier);
    if (claim == null) {
      return Step.of(state);
    }
    RepeatRelease release = new RepeatRelease(identifier, claim.repeatKey());
    List<RepeatEffect> effects = new ArrayList<>();
    for (HostName member : state.views().standing().members()) {
      if (!member.equals(state.self())) {
        effects.add(new RepeatEffect.Send(member, release));
      }
    }
    return new Step<>(released(state.withoutClaim(identifier), release), effects);
  }

  private static Step<RepeatState, RepeatEffect> received(
      RepeatState state, HostName sender, PeerMessage message, MonotonicTime time) {
    if (message instanceof RepeatClaim claim) {
      Voted voted = vote(state, claim, time);
      return Step.of(voted.state(), new RepeatEffect.Send(sender, voted.answer()));
    }
    if (message instanceof RepeatAnswer answer) {
      return answered(state, sender, answer, time);
    }
    if (message instanceof RepeatRelease release) {
      return Step.of(released(state, release));
    }
    return Step.of(state);
  }

  private static Voted vote(RepeatState state, RepeatClaim claim, MonotonicTime time) {
    boolean current =
        state.views().active().filter(list -> list.version() == claim.version()).isPresent();
    RepeatRecord recorded = state.records().get(claim.repeatKey());
    if (recorded != null && !recorded.identifier().equals(claim.identifier())) {
      return new Voted(state, answer(claim, RepeatAnswer.Vote.DUPLICATE));
    }
    if (!current || recorded == null && state.recordCount() >= state.settings().maximumRecords()) {
      return new Voted(state, answer(claim, RepeatAnswer.Vote.DECLINED));
    }
    RepeatState next =
        recorded == null
            ? state.withRecord(claim.repeatKey(), new RepeatRecord(claim.identifier(), time))
            : state;
    boolean certain = state.views().isCertain(time);
    return new Voted(
        next, answer(claim, certain ? RepeatAnswer.Vote.GRANTED : RepeatAnswer.Vote.UNCERTAIN));
  }

  private static Step<RepeatState, RepeatEffect> answered(
      RepeatState state, HostName sender, RepeatAnswer answer, MonotonicTime time) {
    PendingClaim claim = state.claims().get(answer.identifier());
    if (claim == null || claim.decided()) {
      return Step.of(state);
    }
    boolean counts =
        answer.vote() == RepeatAnswer.Vote.DUPLICATE || answer.version() == claim.version();
    return counts
        ? decide(state, answer.identifier(), claim.with(sender, answer.vote()), time)
        : Step.of(state);
  }

  private static Step<RepeatState, RepeatEffect> decide(
      RepeatState state, RequestIdentifier identifier, PendingClaim claim, MonotonicTime time) {
    if (claim.hasDuplicate()) {
      return conclude(state, identifier, claim, RepeatCheckResult.DUPLICATE);
    }
    if (isLate(state, claim, time)) {
      return conclude(state, identifier, claim, RepeatCheckResult.UNAVAILABLE);
    }
    Optional<MemberList> active = state.views().active();
    boolean granted =
        active
            .filter(list -> list.version() == claim.version())
            .filter(list -> claim.grants() >= list.majority())
            .isPresent();
    return granted
        ? conclude(state, identifier, claim, RepeatCheckResult.FIRST)
        : Step.of(state.withClaim(identifier, claim));
  }

  private static Step<RepeatState, RepeatEffect> conclude(
      RepeatState state,
      RequestIdentifier identifier,
      PendingClaim claim,
      RepeatCheckResult result) {
    return Step.of(
        state.withClaim(identifier, claim.concluded()),
        new RepeatEffect.Checked(identifier, result));
  }

  private static Step<RepeatState, RepeatEffect> tick(RepeatState state, MonotonicTime time) {
    Views views = state.views().activate(state.settings(), time);
    return resend(expire(state.with(views), time), time, false);
  }

  private static Step<RepeatState, RepeatEffect> resend(
      RepeatState state, MonotonicTime time, boolean atOnce) {
    Step<RepeatState, RepeatEffect> step = Step.of(state);
    for (Map.Entry<RequestIdentifier, PendingClaim> entry : state.claims().entrySet()) {
      PendingClaim claim = entry.getValue();
      if (claim.decided()) {
        continue;
      }
      Step<RepeatState, RepeatEffect> next;
      if (isLate(step.state(), claim, time)) {
        next = conclude(step.state(), entry.getKey(), claim, RepeatCheckResult.UNAVAILABLE);
      } else if (atOnce
          || time.since(claim.lastSent()).compareTo(state.settings().resendInterval()) >= 0) {
        next = send(step.state(), entry.getKey(), claim.sentAgain(time), time);
      } else {
        continue;
      }
      step = new Step<RepeatState, RepeatEffect>(next.state(), step.effects()).with(next.effects());
    }
    return step;
  }

  private static Step<RepeatState, RepeatEffect> send(
      RepeatState state, RequestIdentifier identifier, PendingClaim pending, MonotonicTime time) {
    PendingClaim claim = pending.under(state.views().standing().version());
    RepeatClaim message = new RepeatClaim(identifier, claim.repeatKey(), claim.version());
    List<RepeatEffect> effects = new ArrayList<>();
    for (HostName member : claim.missing(state.views().standing().members())) {
      if (!member.equals(state.self())) {
        effects.add(new RepeatEffect.Send(member, message));
      }
    }
    Voted own = vote(state, message, time);
    Step<RepeatState, RepeatEffect> decided =
        decide(own.state(), identifier, claim.with(state.self(), own.answer().vote()), time);
    return new Step<RepeatState, RepeatEffect>(decided.state(), effects).with(decided.effects());
  }

  /** Tells whether votes may be too old to count, for instance because the process slept. */
  private static boolean isLate(RepeatState state, PendingClaim claim, MonotonicTime time) {
    return time.since(claim.started()).compareTo(state.settings().timeout()) > 0;
  }

  private static RepeatState expire(RepeatState state, MonotonicTime time) {
    MonotonicTime horizon = time.minus(state.settings().window());
    RepeatState next = state;
    for (Map.Entry<String, RepeatRecord> entry : state.records().entrySet()) {
      if (entry.getValue().recorded().isBefore(horizon)) {
        next = next.withoutRecord(entry.getKey());
      }
    }
    for (Map.Entry<RequestIdentifier, PendingClaim> entry : state.claims().entrySet()) {
      if (entry.getValue().decided() && entry.getValue().started().isBefore(horizon)) {
        next = next.withoutClaim(entry.getKey());
      }
    }
    return next;
  }

  private static RepeatState released(RepeatState state, RepeatRelease release) {
    RepeatRecord recorded = state.records().get(release.repeatKey());
    return recorded != null && recorded.identifier().equals(release.identifier())
        ? state.withoutRecord(release.repeatKey())
        : state;
  }

  private static RepeatAnswer answer(RepeatClaim claim, RepeatAnswer.Vote vote) {
    return new RepeatAnswer(claim.identifier(), claim.version(), vote);
  }

  /**
   * A vote and the state after it.
   *
   * @param state the state
   * @param answer the vote
   */
  private record Voted(RepeatState state, RepeatAnswer answer) {}
}
