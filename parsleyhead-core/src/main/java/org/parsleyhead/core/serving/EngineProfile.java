package org.parsleyhead.core.serving;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.Preconditions;

/**
 * The capacity of each model server of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the number of requests that run concurrently
 * @param cacheTokens the number of tokens in the cache, for running requests and cached prompts
 * @param adapterSlots the number of adapters, including those being loaded
 * @param memoryMegabytes the memory for weights and adapters
 * @param models the base models that may be placed on the servers
 */
public record EngineProfile(
    int slots, long cacheTokens, int adapterSlots, double memoryMegabytes, List<BaseModel> models) {

  /** Validates the components and copies the list. */
  public EngineProfile {
    Preconditions.requirePositive(slots, "slots");
    Preconditions.requirePositive(cacheTokens, "cacheTokens");
    Preconditions.requireNonNegative(adapterSlots, "adapterSlots");
    models = List.copyOf(models);
  }

  /**
   * A base model.
   *
   * <p>Immutable and thread-safe.
   *
   * @param name the name of the model
   * @param megabytes the memory that its weights occupy
   * @param adapterMegabytes the memory that each of its adapters occupies
   * @param loadTime the time to load its weights from the weight store
   */
  public record BaseModel(
      String name, double megabytes, double adapterMegabytes, Duration loadTime) {}
}
