package org.parsleyhead.core.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;

/**
 * Injects random faults into a fake fleet: paused hosts, cut links, restarts, lost messages, and
 * host lists that are wrong or delayed. Not thread-safe.
 */
final class FakeFaults {

  private static final double INTERVAL_MILLISECONDS = 6000;

  private final FakeFleet fleet;
  private final FakeTimeline timeline;
  private final Set<HostName> listed;
  private final boolean restartsEngines;
  private final double maximumDurationMilliseconds;

  FakeFaults(FakeFleet fleet, boolean restartsEngines, double maximumDurationMilliseconds) {
    this.maximumDurationMilliseconds = maximumDurationMilliseconds;
    this.restartsEngines = restartsEngines;
    this.fleet = fleet;
    this.timeline = fleet.timeline();
    this.listed = new TreeSet<>(fleet.hostNames());
  }

  void start() {
    timeline.every(INTERVAL_MILLISECONDS, this::inject);
  }

  private void inject() {
    switch (timeline.random().nextInt(8)) {
      case 0 -> pause(randomHost());
      case 1 -> cut(randomHost(), randomHost());
      case 2 -> isolate(randomHost());
      case 3 -> restart(randomHost());
      case 4 -> removeFromList(randomHost());
      case 5 -> delayLists(randomHost());
      case 6 -> restartEngine();
      default -> fleet.setFaultProbabilities(timeline.random().nextDouble() * 0.2, 0.1);
    }
  }

  private void pause(HostName name) {
    FakeHost host = fleet.host(name);
    if (!host.isPaused()) {
      host.pause();
      timeline.after(randomDuration(), host::resume);
    }
  }

  private void cut(HostName from, HostName to) {
    fleet.setLinkCut(from, to, true);
    timeline.after(randomDuration(), () -> fleet.setLinkCut(from, to, false));
  }

  private void isolate(HostName name) {
    for (HostName other : fleet.hostNames()) {
      cut(name, other);
      cut(other, name);
    }
  }

  private void restart(HostName name) {
    fleet.restart(name, listed);
  }

  /** Publishes a host list without a live host, and later one that contains it again. */
  private void removeFromList(HostName name) {
    if (listed.size() > 2 && listed.remove(name)) {
      fleet.publish(listed);
      timeline.after(
          randomDuration(),
          () -> {
            listed.add(name);
            fleet.publish(listed);
          });
    }
  }

  private void delayLists(HostName name) {
    fleet.host(name).delayListsUntil(timeline.now() + (long) (randomDuration() * 1e6));
  }

  private void restartEngine() {
    if (!restartsEngines) {
      return;
    }
    List<FakeEngine> engines = new ArrayList<>(fleet.engines());
    engines.get(timeline.random().nextInt(engines.size())).restart();
  }

  private HostName randomHost() {
    SplittableRandom random = timeline.random();
    return fleet.hostNames().get(random.nextInt(fleet.hostNames().size()));
  }

  private double randomDuration() {
    return timeline.random().nextDouble() * maximumDurationMilliseconds;
  }
}
