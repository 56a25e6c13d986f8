package org.parsleyhead.load.plan;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.load.settings.LoadSettings.Traffic;

/**
 * One request of the schedule.
 *
 * <p>Immutable and thread-safe. No two requests of a run have the same content; attempts of one
 * request do.
 *
 * @param identifier its identity, unique in the run
 * @param attempt which sending of the request this is, from one
 * @param due when it is sent, from the start of the run
 * @param traffic the traffic that it belongs to
 * @param key the key that it shows
 * @param target the entry host that it is sent to
 * @param model the model that it asks for; empty for calls
 * @param content the prompt or the body
 * @param maximumTokens the greatest length of the answer
 */
public record PlannedRequest(
    String identifier,
    int attempt,
    Duration due,
    Traffic traffic,
    Optional<String> key,
    Endpoint target,
    String model,
    String content,
    int maximumTokens) {

  /** Returns the idempotency key, if calls of its traffic carry one. */
  public Optional<String> idempotencyKey() {
    return traffic.idempotencyKeys() ? Optional.of("key-" + identifier) : Optional.empty();
  }

  /** Returns the next attempt of this request. */
  public PlannedRequest again(Duration time, Endpoint otherTarget) {
    return new PlannedRequest(
        identifier, attempt + 1, time, traffic, key, otherTarget, model, content, maximumTokens);
  }
}
