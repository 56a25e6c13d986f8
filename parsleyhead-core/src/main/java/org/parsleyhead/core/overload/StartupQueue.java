package org.parsleyhead.core.overload;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * Holds the requests that a host receives before it knows its configuration and servers.
 *
 * <p>Answers the restart of all hosts at once: callers find a host again before it has read what
 * the platform publishes, and a refusal would use up the one return of each. Immutable and
 * thread-safe; bounded in number and time, in the order of arrival.
 *
 * @param <T> the type of the requests
 */
public final class StartupQueue<T> {

  /** The reading of the published data takes a small part of this. */
  private static final Duration STARTUP_PERIOD = Duration.ofMillis(1_500);

  private static final int MAXIMUM_REQUESTS = 1_024;

  private final MonotonicTime closesAt;
  private final PMap<Long, T> requests;

  private StartupQueue(MonotonicTime closesAt, PMap<Long, T> requests) {
    this.closesAt = closesAt;
    this.requests = requests;
  }

  /** Returns the empty queue of a process that started at an instant. */
  public static <T> StartupQueue<T> startedAt(MonotonicTime time) {
    return new StartupQueue<>(time.plus(STARTUP_PERIOD), TreePMap.empty());
  }

  /**
   * Returns how long a request that arrives now may wait; empty if it has to be refused.
   *
   * @param untilDeadline the time until the deadline of the request
   */
  public Optional<Duration> waitLimit(Duration untilDeadline, MonotonicTime time) {
    Duration untilClose = closesAt.since(time);
    boolean accepts =
        !untilClose.isNegative() && !untilClose.isZero() && requests.size() < MAXIMUM_REQUESTS;
    if (!accepts) {
      return Optional.empty();
    }
    Duration half = untilDeadline.dividedBy(2);
    return Optional.of(half.compareTo(untilClose) < 0 ? half : untilClose);
  }

  /** Returns whether the process started so recently that requests wait. */
  public boolean open(MonotonicTime time) {
    return time.isBefore(closesAt);
  }

  /** Returns this queue with a further request. */
  public StartupQueue<T> with(long key, T request) {
    return new StartupQueue<>(closesAt, requests.plus(key, request));
  }

  /** Returns this queue without a request. */
  public StartupQueue<T> without(long key) {
    return requests.containsKey(key) ? new StartupQueue<>(closesAt, requests.minus(key)) : this;
  }

  /** Returns this queue without any requests. */
  public StartupQueue<T> emptied() {
    return requests.isEmpty() ? this : new StartupQueue<>(closesAt, TreePMap.empty());
  }

  /** Returns the request with a key. */
  public Optional<T> find(long key) {
    return Optional.ofNullable(requests.get(key));
  }

  /** Returns all requests in the order of their keys. */
  public List<T> requests() {
    return List.copyOf(requests.values());
  }

  /** Returns the number of requests. */
  public int size() {
    return requests.size();
  }
}
