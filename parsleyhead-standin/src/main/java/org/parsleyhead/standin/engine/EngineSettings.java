package org.parsleyhead.standin.engine;

import java.time.Duration;

/**
 * The limits, step timing and fault behavior of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param baseModel the name of the base model
 * @param limits the capacities of the engine
 * @param timing the duration of its steps
 * @param faults its faults and delays
 */
public record EngineSettings(String baseModel, Limits limits, Timing timing, Faults faults) {

  /**
   * The capacities of an engine.
   *
   * @param adapterSlots the maximum number of adapters that are resident or loading
   * @param maximumBatch the maximum number of requests in one step
   * @param cacheTokens the capacity of the KV cache in tokens
   * @param prefixBlocks the capacity of the prefix cache in blocks
   */
  public record Limits(int adapterSlots, int maximumBatch, int cacheTokens, int prefixBlocks) {}

  /**
   * The duration of one step, which is the sum of all parts. Prefill counts only tokens that are
   * not cached.
   *
   * @param base the fixed part of each step
   * @param perRequest the part for each request in the batch
   * @param perAdapter the part for each distinct adapter in the batch
   * @param perPrefillToken the part for each uncached token of a request that is added to the batch
   */
  public record Timing(
      Duration base, Duration perRequest, Duration perAdapter, Duration perPrefillToken) {}

  /**
   * The faults and delays of an engine.
   *
   * @param checksFencing whether orders with a stale fencing number are refused
   * @param reportLag the age of the reported load
   * @param coldSteps how many steps are slow after a start or restart
   * @param coldFactor the factor by which the duration of slow steps is multiplied
   * @param loadFailureRate the fraction of adapter loads that fail
   * @param naturalLength the maximum length at which a completion ends naturally, in tokens; zero
   *     if completions always reach the requested length
   * @param restartTime how long connections are refused during a restart
   * @param seed the seed of injected load failures
   */
  public record Faults(
      boolean checksFencing,
      Duration reportLag,
      int coldSteps,
      double coldFactor,
      double loadFailureRate,
      int naturalLength,
      Duration restartTime,
      long seed) {}
}
