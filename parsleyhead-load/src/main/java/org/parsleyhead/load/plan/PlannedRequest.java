package org.parsleyhead.load.plan;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.load.settings.LoadSettings.TrafficProfile;

/**
 * A request of the schedule.
 *
 * <p>Immutable and thread-safe. The content is unique in a run, except that all attempts of one
 * request share it.
 *
 * @param identifier the request identifier, unique in the run and shared by all attempts
 * @param attempt the number of the attempt, starting at one
 * @param due the scheduled time, relative to the start of the run
 * @param traffic the traffic profile that generated it
 * @param key the API key that it presents; empty if it presents none
 * @param target the entry host that receives it
 * @param model the requested model; empty for calls
 * @param content the prompt of a completion or the body of a call
 * @param maximumTokens the maximum number of tokens to generate
 */
public record PlannedRequest(
    String identifier,
    int attempt,
    Duration due,
    TrafficProfile traffic,
    Optional<String> key,
    Endpoint target,
    String model,
    String content,
    int maximumTokens) {

  /** Returns the idempotency key; empty if the traffic profile does not use one. */
  public Optional<String> idempotencyKey() {
    return traffic.idempotencyKeys() ? Optional.of("key-" + identifier) : Optional.empty();
  }

  /** Returns the next attempt of this request, sent at another time to another target. */
  public PlannedRequest nextAttempt(Duration time, Endpoint otherTarget) {
    return new PlannedRequest(
        identifier, attempt + 1, time, traffic, key, otherTarget, model, content, maximumTokens);
  }
}
