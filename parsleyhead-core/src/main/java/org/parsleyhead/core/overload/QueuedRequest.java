package org.parsleyhead.core.overload;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;

/**
 * A request that waits for capacity.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the number of the request
 * @param line what it waits for
 * @param account the client account, or an empty text
 * @param rank its rank when it began to wait
 * @param since when it began to wait
 * @param giveUpAt until when it waits
 * @param expectedWait the wait that was expected when it began to wait
 */
public record QueuedRequest(
    long key,
    WaitLine line,
    String account,
    RequestRank rank,
    MonotonicTime since,
    MonotonicTime giveUpAt,
    Duration expectedWait) {

  /** Validates the components. */
  public QueuedRequest {
    Preconditions.requireNonNull(line, "line");
    Preconditions.requireNonNull(account, "account");
    Preconditions.requireNonNull(rank, "rank");
    Preconditions.requireNonNull(since, "since");
    Preconditions.requireNonNull(giveUpAt, "giveUpAt");
    Preconditions.requireNonNull(expectedWait, "expectedWait");
  }

  /** Returns the rank at an instant. */
  public RequestRank rankAt(MonotonicTime time) {
    return rank.after(time.since(since));
  }
}
