package org.parsleyhead.core.dispatch;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;

/**
 * What a host admits before and during the shutdown of its process.
 *
 * <p>Immutable and thread-safe. A request is judged by the latest instant at which it can end,
 * whatever its servers do, so that no admitted request is still active when the process ends.
 *
 * @param stage the stage of the shutdown
 * @param answersEndBy the instant by which the responses to all admitted requests must have ended;
 *     without meaning unless the stage is {@link StopStage#REJECT_LATE}
 */
public record StopPlan(StopStage stage, MonotonicTime answersEndBy) {

  /** The plan of a process that is not stopping. */
  public static final StopPlan RUNNING = new StopPlan(StopStage.RUNNING, MonotonicTime.ORIGIN);

  /** The plan that refuses all new requests. */
  public static final StopPlan REJECT_ALL =
      new StopPlan(StopStage.REJECT_ALL, MonotonicTime.ORIGIN);

  /** Validates the components. */
  public StopPlan {
    Preconditions.requireNonNull(stage, "stage");
    Preconditions.requireNonNull(answersEndBy, "answersEndBy");
  }

  /** Returns the plan that refuses requests that may not have ended at an instant. */
  public static StopPlan rejectEndingAfter(MonotonicTime answersEndBy) {
    return new StopPlan(StopStage.REJECT_LATE, answersEndBy);
  }

  /** Returns whether the shutdown has begun. */
  boolean stopping() {
    return stage != StopStage.RUNNING;
  }

  /** Returns whether a request that ends at its deadline at the latest may be admitted. */
  boolean admits(MonotonicTime deadline) {
    return switch (stage) {
      case RUNNING -> true;
      case REJECT_LATE -> !answersEndBy.isBefore(deadline);
      case REJECT_ALL -> false;
    };
  }

  /** Returns the plan after another was received; one of an earlier stage has been overtaken. */
  StopPlan followedBy(StopPlan next) {
    return next.stage.compareTo(stage) < 0 ? this : next;
  }
}
