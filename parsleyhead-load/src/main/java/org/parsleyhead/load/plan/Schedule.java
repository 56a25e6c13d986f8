package org.parsleyhead.load.plan;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.parsleyhead.load.settings.LoadSettings;

/**
 * All requests of a run in the order of their times, worked out one after the other.
 *
 * <p>Confined to one thread. Equal settings and run names give equal schedules; what answers come
 * has no influence.
 */
public final class Schedule implements Iterator<PlannedRequest> {

  private record Head(PlannedRequest request, Optional<TrafficStream> stream) {}

  private final SplittableRandom random;
  private final LoadSettings settings;
  private final PriorityQueue<Head> heads =
      new PriorityQueue<>(Comparator.comparing((Head head) -> head.request().due()));

  /**
   * Creates a schedule.
   *
   * @param settings what is sent
   * @param run the name of the run, which stands in all identifiers
   */
  public Schedule(LoadSettings settings, String run) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
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
    head.stream().ifPresent(this::add);
    if (head.stream().isPresent()
        && random.nextDouble() < head.request().traffic().repetition().probability()) {
      heads.add(new Head(repeated(head.request()), Optional.empty()));
    }
    return head.request();
  }

  private PlannedRequest repeated(PlannedRequest request) {
    return request.again(
        request.due().plus(request.traffic().repetition().delay()),
        TargetSelector.other(settings, request.target()));
  }

  private void add(TrafficStream stream) {
    stream.next().ifPresent(request -> heads.add(new Head(request, Optional.of(stream))));
  }
}
