package org.parsleyhead.integration.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The periods in which connections to servers were ended from the side of the server.
 *
 * <p>Thread-safe. Times are values of {@link System#nanoTime()}.
 */
final class ServerEnds {

  /** Covers the way of a reset through the event loops of the stand-ins and of a gateway. */
  private static final long TRANSIT_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

  private final Map<String, List<HostHistory.Period>> periods = new HashMap<>();

  /** Runs an action during which the connections to a server may be ended. */
  void during(String instance, Runnable action) {
    long from = System.nanoTime();
    add(instance, from, Long.MAX_VALUE);
    action.run();
    replaceLast(instance, from, System.nanoTime() + TRANSIT_NANOSECONDS);
  }

  /** Records a period in which connections to a server were ended. */
  synchronized void add(String instance, long from, long until) {
    periods.computeIfAbsent(instance, name -> new ArrayList<>()).add(period(from, until));
  }

  /** Returns whether connections to a server may have been ended in a period. */
  synchronized boolean endedBetween(String instance, long from, long until) {
    return periods.getOrDefault(instance, List.of()).stream()
        .anyMatch(period -> period.overlaps(from, until));
  }

  private synchronized void replaceLast(String instance, long from, long until) {
    periods.get(instance).remove(period(from, Long.MAX_VALUE));
    add(instance, from, until);
  }

  private static HostHistory.Period period(long from, long until) {
    return new HostHistory.Period(from, until);
  }
}
