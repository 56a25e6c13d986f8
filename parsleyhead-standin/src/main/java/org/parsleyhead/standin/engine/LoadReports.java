package org.parsleyhead.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.standin.ServiceMode;

/**
 * Selects the load sample that an engine reports, which lags behind the current load.
 *
 * <p>Immutable and thread-safe.
 */
final class LoadReports {

  private final EngineSettings settings;

  LoadReports(EngineSettings settings) {
    this.settings = settings;
  }

  /** Adds a sample of the current load and drops samples that are older than the reported one. */
  EngineState addSample(EngineState state, MonotonicTime time) {
    if (state.mode().mode() == ServiceMode.STALE) {
      return state;
    }
    List<LoadReport> samples = new ArrayList<>(state.loadSamples());
    samples.add(currentLoad(state, time));
    MonotonicTime reportedTime = time.minus(settings.faults().reportLag());
    while (samples.size() > 1 && !reportedTime.isBefore(samples.get(1).time())) {
      samples.remove(0);
    }
    return state.withLoadSamples(samples);
  }

  /** Returns the sample that is reported; an idle one before the first sample. */
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
