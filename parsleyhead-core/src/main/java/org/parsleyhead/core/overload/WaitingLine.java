package org.parsleyhead.core.overload;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * The requests that wait for the same capacity, in order, and the rate at which they get it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param order the keys of the requests by their places
 * @param priorities the number of requests of each priority
 * @param interval the mean time between two requests that got capacity
 * @param takenCount the number of requests that got capacity
 * @param takenAt when the last one got it, or the line was last empty
 */
record WaitingLine(
    TreePMap<Place, Long> order,
    PMap<Integer, Integer> priorities,
    Duration interval,
    long takenCount,
    MonotonicTime takenAt) {

  /** Interval before any has been observed; most requests take about as long. */
  private static final Duration INITIAL_INTERVAL = Duration.ofMillis(150);

  /** Bounds an observed interval, so that a short outage does not determine later estimates. */
  private static final Duration MAXIMUM_INTERVAL = Duration.ofSeconds(2);

  /** Weight of the newest interval; the last five intervals determine most of the mean. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** Observations after which little of the initial interval is left in the mean. */
  private static final int MINIMUM_COUNT = 10;

  static final WaitingLine EMPTY =
      new WaitingLine(
          TreePMap.empty(), HashTreePMap.empty(), INITIAL_INTERVAL, 0, MonotonicTime.ORIGIN);

  /**
   * The place of a request in a line.
   *
   * <p>Immutable and thread-safe.
   *
   * @param turn when it has its turn
   * @param key the number of the request, which orders equal turns by arrival
   * @param late whether the turn is the one of a request that cannot meet its latency target
   */
  record Place(MonotonicTime turn, long key, boolean late) implements Comparable<Place> {

    @Override
    public int compareTo(Place other) {
      int byTurn = turn.compareTo(other.turn);
      return byTurn != 0 ? byTurn : Long.compare(key, other.key);
    }
  }

  WaitingLine with(Place place, int priority, MonotonicTime time) {
    return new WaitingLine(
        order.plus(place, place.key()),
        priorities.plus(priority, priorities.getOrDefault(priority, 0) + 1),
        interval,
        takenCount,
        order.isEmpty() ? time : takenAt);
  }

  WaitingLine without(Place place, int priority) {
    return new WaitingLine(
        order.minus(place),
        priorities.plus(priority, Math.max(0, priorities.getOrDefault(priority, 0) - 1)),
        interval,
        takenCount,
        takenAt);
  }

  /** Returns this line after a request of it got capacity. */
  WaitingLine taken(MonotonicTime time) {
    Duration elapsed = time.since(takenAt);
    Duration newest = elapsed.compareTo(MAXIMUM_INTERVAL) < 0 ? elapsed : MAXIMUM_INTERVAL;
    double mean =
        interval.toNanos() * (1 - NEWEST_WEIGHT) + Math.max(0, newest.toNanos()) * NEWEST_WEIGHT;
    return new WaitingLine(order, priorities, Duration.ofNanos((long) mean), takenCount + 1, time);
  }

  /** Returns whether the mean interval is based on observations. */
  boolean measured() {
    return takenCount >= MINIMUM_COUNT;
  }

  /** Returns the number of requests of a priority value or a lower one. */
  int ahead(int priority) {
    int count = 0;
    for (var entry : priorities.entrySet()) {
      count += entry.getKey() <= priority ? entry.getValue() : 0;
    }
    return count;
  }
}
