package org.parsleyhead.core.overload;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * The inputs that determine in which order requests get scarce capacity.
 *
 * <p>Immutable and thread-safe. All times are relative, so that hosts can exchange ranks.
 *
 * @param priority the priority of the client account, else of the route; 0 is the most urgent
 * @param waited the time since the request was received
 * @param target the latency target, from the receipt of the request
 * @param limit the time from the receipt of the request to its deadline
 * @param work the expected time from the send to the response, without any queueing
 */
public record RequestRank(
    int priority, Duration waited, Duration target, Duration limit, Duration work) {

  /** Validates the components. */
  public RequestRank {
    Preconditions.requireNonNegative(priority, "priority");
    Preconditions.requireNonNull(waited, "waited");
    Preconditions.requireNonNull(target, "target");
    Preconditions.requireNonNull(limit, "limit");
    Preconditions.requireNonNull(work, "work");
  }

  /** Returns this rank after a further wait. */
  public RequestRank after(Duration further) {
    return new RequestRank(priority, waited.plus(further), target, limit, work);
  }

  /** Returns whether a request that is sent now is expected to meet its latency target. */
  public boolean meetsTarget() {
    return waited.plus(work).compareTo(target) <= 0;
  }

  /** Returns the time until the deadline; negative if it has passed. */
  public Duration untilDeadline() {
    return limit.minus(waited);
  }
}
