package org.parsleyhead.standin.engine;

import java.time.Duration;

/**
 * The limits and timing of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param baseModel the name of the base model
 * @param limits what the engine can hold
 * @param timing how long its steps take
 * @param faults how it differs from an ideal engine
 */
public record EngineSettings(String baseModel, Limits limits, Timing timing, Faults faults) {

  /**
   * What an engine can hold.
   *
   * @param adapterSlots the greatest number of resident adapters
   * @param maximumBatch the greatest number of requests in one step
   * @param cacheTokens the capacity of the KV cache in tokens
   * @param prefixBlocks the capacity of the prefix cache in blocks
   */
  public record Limits(int adapterSlots, int maximumBatch, int cacheTokens, int prefixBlocks) {}

  /**
   * How long one step takes: the sum of all parts, prefill only for tokens that are not cached.
   *
   * @param base the part of each step
   * @param perRequest the part for each request in the batch
   * @param perAdapter the part for each distinct adapter in the batch
   * @param perPrefillToken the part for each prompt token of a request that joins the batch
   */
  public record Timing(
      Duration base, Duration perRequest, Duration perAdapter, Duration perPrefillToken) {}

  /**
   * How an engine differs from an ideal one.
   *
   * @param checksFencing whether orders with an old fencing number are refused
   * @param reportLag how old the reported load is
   * @param coldSteps how many steps after a restart are slow
   * @param coldFactor by what factor they are slow
   * @param loadFailureRate the fraction of adapter loads that fail
   * @param naturalLength the greatest length at which answers end by themselves, in tokens; zero if
   *     they always run to the requested length
   * @param restartTime how long connections are refused during a restart
   * @param seed the seed of what is random
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
