package org.parsleyhead.load.plan;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.PriorityQueue;
import org.parsleyhead.load.settings.LoadSettings;

/**
 * All requests of a run in the order of their times, worked out one after the other.
 *
 * <p>Confined to one thread. Equal settings and run names give equal schedules; what answers come
 * has no influence.
 */
public final class Schedule implements Iterator<PlannedRequest> {

  private record Head(PlannedRequest request, TrafficStream stream) {}

  private final PriorityQueue<Head> heads =
      new PriorityQueue<>(Comparator.comparing((Head head) -> head.request().due()));

  /**
   * Creates a schedule.
   *
   * @param settings what is sent
   * @param run the name of the run, which stands in all identifiers
   */
  public Schedule(LoadSettings settings, String run) {
    TargetSelector targets = TargetSelector.of(settings);
    ZipfDistribution popularity =
        new ZipfDistribution(settings.adapters().count(), settings.adapters().zipfExponent());
    settings
        .traffics()
        .forEach(traffic -> add(new TrafficStream(settings, traffic, run, targets, popularity)));
  }

  @Override
  public boolean hasNext() {
    return !heads.isEmpty();
  }

  @Override
  public PlannedRequest next() {
    Head head = heads.poll();
    if (head == null) {
      throw new NoSuchElementException("the schedule is over");
    }
    add(head.stream());
    return head.request();
  }

  private void add(TrafficStream stream) {
    stream.next().ifPresent(request -> heads.add(new Head(request, stream)));
  }
}
