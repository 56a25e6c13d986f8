package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.OptionalDouble;
import org.parsleyhead.core.api.Preconditions;

/**
 * The load that an instance reported in the head of a response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running the requests that run
 * @param waiting the requests that wait for a slot
 * @param slots the requests that can run at the same time, at least 1
 * @param pace how long work takes compared with usual, where 1 is as usual and 2 twice as long;
 *     empty if the instance does not say
 * @param age the time since the head of the response was received
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalDouble pace, Duration age) {

  /** Validates the components. */
  public ReportedLoad {
    Preconditions.requireNonNegative(running, "running");
    Preconditions.requireNonNegative(waiting, "waiting");
    Preconditions.require(slots > 0, "slots", "must be positive");
    Preconditions.requireNonNull(pace, "pace");
    Preconditions.requireNonNull(age, "age");
  }

  /** Returns this report some time after its response was received. */
  public ReportedLoad withAge(Duration elapsed) {
    return new ReportedLoad(running, waiting, slots, pace, elapsed);
  }
}
