package org.parsleyhead.load.plan;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.parsleyhead.load.settings.LoadSettings;

/**
 * All requests of a run in order of their scheduled times, generated lazily.
 *
 * <p>Confined to one thread. Equal settings and run names yield equal schedules, regardless of the
 * responses.
 */
public final class Schedule implements Iterator<PlannedRequest> {

  private record ScheduledRequest(PlannedRequest request, Optional<TrafficStream> stream) {}

  private final SplittableRandom random;
  private final LoadSettings settings;
  private final PriorityQueue<ScheduledRequest> queue =
      new PriorityQueue<>(
          Comparator.comparing((ScheduledRequest scheduled) -> scheduled.request().due()));

  /**
   * Creates a schedule.
   *
   * @param settings the traffic profiles and the seed
   * @param run the name of the run, the prefix of all request identifiers
   */
  public Schedule(LoadSettings settings, String run) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    TargetSelector targets = TargetSelector.of(settings);
    ZipfDistribution popularity =
        new ZipfDistribution(settings.adapters().count(), settings.adapters().zipfExponent());
    settings
        .trafficProfiles()
        .forEach(traffic -> add(new TrafficStream(settings, traffic, run, targets, popularity)));
  }

  @Override
  public boolean hasNext() {
    return !queue.isEmpty();
  }

  @Override
  public PlannedRequest next() {
    ScheduledRequest scheduled = queue.poll();
    if (scheduled == null) {
      throw new NoSuchElementException("the schedule has no more requests");
    }
    scheduled.stream().ifPresent(this::add);
    if (scheduled.stream().isPresent()
        && random.nextDouble() < scheduled.request().traffic().repetition().probability()) {
      queue.add(new ScheduledRequest(repetitionOf(scheduled.request()), Optional.empty()));
    }
    return scheduled.request();
  }

  private PlannedRequest repetitionOf(PlannedRequest request) {
    return request.nextAttempt(
        request.due().plus(request.traffic().repetition().delay()),
        TargetSelector.targetAfter(settings, request.target()));
  }

  private void add(TrafficStream stream) {
    stream
        .next()
        .ifPresent(request -> queue.add(new ScheduledRequest(request, Optional.of(stream))));
  }
}
