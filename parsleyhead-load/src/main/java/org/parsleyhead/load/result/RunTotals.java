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
 * What has been counted of a run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param groups the counts of each group
 * @param refusals how often each refusal was given
 * @param ended how many requests have ended
 */
public record RunTotals(
    PMap<Outcome.Group, GroupTotals> groups, PMap<RefusalKey, Long> refusals, long ended) {

  /** The totals before the first outcome. */
  public static final RunTotals EMPTY =
      new RunTotals(HashTreePMap.empty(), HashTreePMap.empty(), 0);

  /** The decision that counts an outcome and says which figures it belongs to. */
  public static final Transition<RunTotals, Event, Effect> TRANSITION = RunTotals::apply;

  /** What refusals and failures have in common if they are counted together. */
  public record RefusalKey(
      Outcome.Group group, Outcome.End end, int status, String code, String run) {}

  /** How many requests of a group ended in which way, and how many tokens came. */
  public record GroupTotals(long answered, long refused, long failed, long wrong, long tokens) {

    private static final GroupTotals NONE = new GroupTotals(0, 0, 0, 0, 0);

    private GroupTotals plus(Outcome outcome) {
      return new GroupTotals(
          answered + one(outcome, Outcome.End.ANSWERED),
          refused + one(outcome, Outcome.End.REFUSED),
          failed + one(outcome, Outcome.End.FAILED),
          wrong + one(outcome, Outcome.End.WRONG),
          tokens + outcome.tokens());
    }

    private static int one(Outcome outcome, Outcome.End end) {
      return outcome.end() == end ? 1 : 0;
    }

    /** Returns how many requests ended. */
    public long requests() {
      return answered + refused + failed + wrong;
    }
  }

  /** What happens during a run. */
  public sealed interface Event {}

  /** A request ended. */
  public record Ended(Outcome outcome) implements Event {}

  /** Time has passed. */
  public record Tick() implements Event {}

  /** What is kept of an outcome outside of the totals. */
  public sealed interface Effect {}

  /** Adds to the latency figures of a group. */
  public record Measure(Outcome outcome) implements Effect {}

  /** Writes the outcome. */
  public record Keep(Outcome outcome) implements Effect {}

  private static Step<RunTotals, Effect> apply(RunTotals totals, Event event, MonotonicTime time) {
    if (!(event instanceof Ended ended)) {
      return Step.of(totals);
    }
    Outcome outcome = ended.outcome();
    List<Effect> effects = new ArrayList<>();
    effects.add(new Keep(outcome));
    if (outcome.end() == Outcome.End.ANSWERED) {
      effects.add(new Measure(outcome));
    }
    return new Step<>(totals.plus(outcome), effects);
  }

  private RunTotals plus(Outcome outcome) {
    GroupTotals group = groups.getOrDefault(outcome.group(), GroupTotals.NONE);
    return new RunTotals(
        groups.plus(outcome.group(), group.plus(outcome)), refusalsWith(outcome), ended + 1);
  }

  private PMap<RefusalKey, Long> refusalsWith(Outcome outcome) {
    if (outcome.end() != Outcome.End.REFUSED && outcome.end() != Outcome.End.FAILED) {
      return refusals;
    }
    RefusalKey key =
        new RefusalKey(
            outcome.group(), outcome.end(), outcome.status(), outcome.code(), outcome.run());
    return refusals.plus(key, refusals.getOrDefault(key, 0L) + 1);
  }

  /** Returns the sum of all groups. */
  public GroupTotals sum() {
    GroupTotals sum = GroupTotals.NONE;
    for (Map.Entry<Outcome.Group, GroupTotals> entry : groups.entrySet()) {
      GroupTotals group = entry.getValue();
      sum =
          new GroupTotals(
              sum.answered() + group.answered(),
              sum.refused() + group.refused(),
              sum.failed() + group.failed(),
              sum.wrong() + group.wrong(),
              sum.tokens() + group.tokens());
    }
    return sum;
  }
}
