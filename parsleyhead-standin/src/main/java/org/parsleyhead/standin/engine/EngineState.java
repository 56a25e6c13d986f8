package org.parsleyhead.standin.engine;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.standin.ModeChange;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adapters the resident and the loading adapters
 * @param running the batch
 * @param waiting the queue, in the order of its admission
 * @param stepEnd when the current step is over; empty between steps
 * @param prefixCache the cached prompt prefixes
 * @param highestFencingNumber the highest fencing number that was seen
 * @param coldStepsLeft how many slow steps are left
 * @param loadSamples the load at earlier times, oldest first
 * @param mode the way of answering
 * @param totals what has happened since the start of the process
 */
record EngineState(
    PMap<String, AdapterState> adapters,
    List<Sequence> running,
    List<Sequence> waiting,
    Optional<MonotonicTime> stepEnd,
    PrefixCache prefixCache,
    long highestFencingNumber,
    int coldStepsLeft,
    List<LoadReport> loadSamples,
    ModeChange mode,
    Totals totals) {

  /** What is known of an adapter. */
  sealed interface AdapterState {}

  /** An adapter that is ready. */
  record Resident() implements AdapterState {}

  /** An adapter whose weights are on their way, with the orders that wait for them. */
  record Loading(List<Long> orders) implements AdapterState {}

  /**
   * What has happened since the start of the process.
   *
   * @param arrivals how many completions were accepted
   * @param loads how many loads began
   * @param steps how many steps ended
   * @param tokens how many tokens were generated
   */
  record Totals(long arrivals, long loads, long steps, long tokens) {

    Totals withArrival() {
      return new Totals(arrivals + 1, loads, steps, tokens);
    }

    Totals withLoad() {
      return new Totals(arrivals, loads + 1, steps, tokens);
    }

    Totals withStep(int generated) {
      return new Totals(arrivals, loads, steps + 1, tokens + generated);
    }
  }

  /** Returns the state of an engine that starts. */
  static EngineState initial(EngineSettings settings) {
    return new EngineState(
        HashTreePMap.empty(),
        List.of(),
        List.of(),
        Optional.empty(),
        PrefixCache.empty(settings.limits().prefixBlocks()),
        0,
        settings.faults().coldSteps(),
        List.of(),
        ModeChange.UP,
        new Totals(0, 0, 0, 0));
  }

  boolean isResident(String adapter) {
    return adapters.get(adapter) instanceof Resident;
  }

  EngineState withAdapters(PMap<String, AdapterState> newAdapters) {
    return new EngineState(
        newAdapters,
        running,
        waiting,
        stepEnd,
        prefixCache,
        highestFencingNumber,
        coldStepsLeft,
        loadSamples,
        mode,
        totals);
  }

  EngineState withSequences(List<Sequence> newRunning, List<Sequence> newWaiting) {
    return new EngineState(
        adapters,
        List.copyOf(newRunning),
        List.copyOf(newWaiting),
        stepEnd,
        prefixCache,
        highestFencingNumber,
        coldStepsLeft,
        loadSamples,
        mode,
        totals);
  }

  EngineState withStep(Optional<MonotonicTime> ends, PrefixCache cache, int newColdSteps) {
    return new EngineState(
        adapters,
        running,
        waiting,
        ends,
        cache,
        highestFencingNumber,
        newColdSteps,
        loadSamples,
        mode,
        totals);
  }

  EngineState withFencingNumber(long fence) {
    return new EngineState(
        adapters,
        running,
        waiting,
        stepEnd,
        prefixCache,
        fence,
        coldStepsLeft,
        loadSamples,
        mode,
        totals);
  }

  EngineState withLoadSamples(List<LoadReport> newReports) {
    return new EngineState(
        adapters,
        running,
        waiting,
        stepEnd,
        prefixCache,
        highestFencingNumber,
        coldStepsLeft,
        List.copyOf(newReports),
        mode,
        totals);
  }

  EngineState withMode(ModeChange newMode) {
    return new EngineState(
        adapters,
        running,
        waiting,
        stepEnd,
        prefixCache,
        highestFencingNumber,
        coldStepsLeft,
        loadSamples,
        newMode,
        totals);
  }

  EngineState withTotals(Totals newTotals) {
    return new EngineState(
        adapters,
        running,
        waiting,
        stepEnd,
        prefixCache,
        highestFencingNumber,
        coldStepsLeft,
        loadSamples,
        mode,
        newTotals);
  }
}
