package org.parsleyhead.load.result;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Request totals of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param groups the totals of each group
 * @param refusals the number of refusals and failures of each kind
 * @param completed the number of outcomes received
 */
public record RunTotals(
    PMap<Outcome.Group, GroupTotals> groups, PMap<RefusalKey, Long> refusals, long completed) {

  /** The totals before the first outcome. */
  public static final RunTotals EMPTY =
      new RunTotals(HashTreePMap.empty(), HashTreePMap.empty(), 0);

  /** Counts an outcome and emits the effects that store it and record its latencies. */
  public static final Transition<RunTotals, Event, Effect> TRANSITION = RunTotals::apply;

  /** The key under which refusals and failures are counted. */
  public record RefusalKey(
      Outcome.Group group, Outcome.RequestResult result, int status, String code, String run) {}

  /** The number of requests of a group by result, and the number of tokens received. */
  public record GroupTotals(long answered, long refused, long failed, long wrong, long tokens) {

    private static final GroupTotals ZERO = new GroupTotals(0, 0, 0, 0, 0);

    private GroupTotals plus(Outcome outcome) {
      return new GroupTotals(
          answered + countOf(outcome, Outcome.RequestResult.ANSWERED),
          refused + countOf(outcome, Outcome.RequestResult.REFUSED),
          failed + countOf(outcome, Outcome.RequestResult.FAILED),
          wrong + countOf(outcome, Outcome.RequestResult.WRONG),
          tokens + outcome.tokens());
    }

    private static int countOf(Outcome outcome, Outcome.RequestResult result) {
      return outcome.result() == result ? 1 : 0;
    }

    /** Returns the number of requests with any result. */
    public long requests() {
      return answered + refused + failed + wrong;
    }
  }

  /** An event during a run. */
  public sealed interface Event {}

  /** The outcome of a request is known. */
  public record RequestCompleted(Outcome outcome) implements Event {}

  /** The periodic tick of the duty; does not change the totals. */
  public record Tick() implements Event {}

  /** An effect of counting an outcome. */
  public sealed interface Effect {}

  /** Records the latencies of an answered request. */
  public record RecordLatency(Outcome outcome) implements Effect {}

  /** Stores the outcome. */
  public record StoreOutcome(Outcome outcome) implements Effect {}

  private static Step<RunTotals, Effect> apply(RunTotals totals, Event event, MonotonicTime time) {
    if (!(event instanceof RequestCompleted completion)) {
      return Step.of(totals);
    }
    Outcome outcome = completion.outcome();
    List<Effect> effects = new ArrayList<>();
    effects.add(new StoreOutcome(outcome));
    if (outcome.result() == Outcome.RequestResult.ANSWERED) {
      effects.add(new RecordLatency(outcome));
    }
    return new Step<>(totals.plus(outcome), effects);
  }

  private RunTotals plus(Outcome outcome) {
    GroupTotals group = groups.getOrDefault(outcome.group(), GroupTotals.ZERO);
    return new RunTotals(
        groups.plus(outcome.group(), group.plus(outcome)), refusalsWith(outcome), completed + 1);
  }

  private PMap<RefusalKey, Long> refusalsWith(Outcome outcome) {
    if (outcome.result() != Outcome.RequestResult.REFUSED
        && outcome.result() != Outcome.RequestResult.FAILED) {
      return refusals;
    }
    RefusalKey key =
        new RefusalKey(
            outcome.group(), outcome.result(), outcome.status(), outcome.code(), outcome.run());
    return refusals.plus(key, refusals.getOrDefault(key, 0L) + 1);
  }

  /** Returns the totals of all groups combined. */
  public GroupTotals overall() {
    GroupTotals overall = GroupTotals.ZERO;
    for (Map.Entry<Outcome.Group, GroupTotals> entry : groups.entrySet()) {
      GroupTotals group = entry.getValue();
      overall =
          new GroupTotals(
              overall.answered() + group.answered(),
              overall.refused() + group.refused(),
              overall.failed() + group.failed(),
              overall.wrong() + group.wrong(),
              overall.tokens() + group.tokens());
    }
    return overall;
  }
}
