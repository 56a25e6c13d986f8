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
 * @param running the requests in the batch
 * @param waiting the queued requests, in the order of admission to the batch
 * @param stepEnd the end of the current step; empty between steps
 * @param prefixCache the cached prompt prefixes
 * @param highestFencingNumber the highest fencing number received so far
 * @param coldStepsLeft how many of the slow steps after a start or restart remain
 * @param loadSamples samples of the load, oldest first
 * @param mode the service mode
 * @param totals the totals since the start of the process
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

  /** The state of an adapter that occupies a slot. */
  sealed interface AdapterState {}

  /** The adapter can serve requests. */
  record Resident() implements AdapterState {}

  /** The weights of the adapter are being fetched; {@code orders} are the exchanges that wait. */
  record Loading(List<Long> orders) implements AdapterState {}

  /**
   * Totals since the start of the process.
   *
   * @param arrivals how many completions were accepted
   * @param loads how many adapter loads started
   * @param steps how many steps finished
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

  /** Returns the state of an engine at its start. */
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

  EngineState withStep(Optional<MonotonicTime> newStepEnd, PrefixCache cache, int newColdSteps) {
    return new EngineState(
        adapters,
        running,
        waiting,
        newStepEnd,
        cache,
        highestFencingNumber,
        newColdSteps,
        loadSamples,
        mode,
        totals);
  }

  EngineState withFencingNumber(long fencingNumber) {
    return new EngineState(
        adapters,
        running,
        waiting,
        stepEnd,
        prefixCache,
        fencingNumber,
        coldStepsLeft,
        loadSamples,
        mode,
        totals);
  }

  EngineState withLoadSamples(List<LoadReport> newLoadSamples) {
    return new EngineState(
        adapters,
        running,
        waiting,
        stepEnd,
        prefixCache,
        highestFencingNumber,
        coldStepsLeft,
        List.copyOf(newLoadSamples),
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
