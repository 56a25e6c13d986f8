package org.parsleyhead.core.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.parsleyhead.core.api.HostName;

/** Random faults of a fake fleet: pauses, cuts, restarts, and lists that are wrong or late. */
final class FakeFaults {

  private static final double INTERVAL_MILLISECONDS = 6000;

  private final FakeFleet fleet;
  private final FakeTimeline timeline;
  private final Set<HostName> listed;
  private final boolean restartsEngines;
  private final double longestMilliseconds;

  FakeFaults(FakeFleet fleet, boolean restartsEngines, double longestMilliseconds) {
    this.longestMilliseconds = longestMilliseconds;
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
      case 0 -> pause(any());
      case 1 -> cut(any(), any());
      case 2 -> isolate(any());
      case 3 -> restart(any());
      case 4 -> drop(any());
      case 5 -> hideLists(any());
      case 6 -> restartEngine();
      default -> fleet.disturb(timeline.random().nextDouble() * 0.2, 0.1);
    }
  }

  private void pause(HostName name) {
    FakeHost host = fleet.host(name);
    if (!host.isPaused()) {
      host.pause();
      timeline.after(duration(), host::resume);
    }
  }

  private void cut(HostName from, HostName to) {
    fleet.cut(from, to, true);
    timeline.after(duration(), () -> fleet.cut(from, to, false));
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

  /** Publishes a list without a host that lives, and later one with it. */
  private void drop(HostName name) {
    if (listed.size() > 2 && listed.remove(name)) {
      fleet.publish(listed);
      timeline.after(
          duration(),
          () -> {
            listed.add(name);
            fleet.publish(listed);
          });
    }
  }

  private void hideLists(HostName name) {
    fleet.host(name).hideListsUntil(timeline.now() + (long) (duration() * 1e6));
  }

  private void restartEngine() {
    if (!restartsEngines) {
      return;
    }
    List<FakeEngine> engines = new ArrayList<>(fleet.engines());
    engines.get(timeline.random().nextInt(engines.size())).restart();
  }

  private HostName any() {
    SplittableRandom random = timeline.random();
    return fleet.hostNames().get(random.nextInt(fleet.hostNames().size()));
  }

  private double duration() {
    return timeline.random().nextDouble() * longestMilliseconds;
  }
}
