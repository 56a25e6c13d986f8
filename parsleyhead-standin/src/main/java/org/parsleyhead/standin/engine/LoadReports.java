package org.parsleyhead.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.standin.ServiceMode;

/**
 * The load that an engine reports, which is older than the current one.
 *
 * <p>Immutable and thread-safe.
 */
final class LoadReports {

  private final EngineSettings settings;

  LoadReports(EngineSettings settings) {
    this.settings = settings;
  }

  /** Adds the current load and drops what is too old to be reported. */
  EngineState addSample(EngineState state, MonotonicTime time) {
    if (state.mode().mode() == ServiceMode.STALE) {
      return state;
    }
    List<LoadReport> reports = new ArrayList<>(state.loadSamples());
    reports.add(currentLoad(state, time));
    MonotonicTime shown = time.minus(settings.faults().reportLag());
    while (reports.size() > 1 && !shown.isBefore(reports.get(1).time())) {
      reports.remove(0);
    }
    return state.withLoadSamples(reports);
  }

  /** Returns the load that is reported. */
  static LoadReport reported(EngineState state) {
    return state.loadSamples().isEmpty()
        ? new LoadReport(MonotonicTime.ORIGIN, 0, 0, 0, List.of(), List.of())
        : state.loadSamples().get(0);
  }

  private LoadReport currentLoad(EngineState state, MonotonicTime time) {
    long cached = state.running().stream().mapToLong(Sequence::cacheTokens).sum();
    TreeSet<String> running = adapters(state.running());
    TreeSet<String> waiting = adapters(state.waiting());
    waiting.removeAll(running);
    return new LoadReport(
        time,
        state.running().size(),
        state.waiting().size(),
        Math.min(1.0, (double) cached / settings.limits().cacheTokens()),
        List.copyOf(running),
        List.copyOf(waiting));
  }

  private TreeSet<String> adapters(List<Sequence> sequences) {
    TreeSet<String> adapters = new TreeSet<>();
    sequences.forEach(sequence -> adapters.add(sequence.request().model()));
    adapters.remove(settings.baseModel());
    return adapters;
  }
}
