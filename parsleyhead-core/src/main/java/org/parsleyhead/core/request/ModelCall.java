package org.parsleyhead.core.request;

import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.ticket.Priority;

/**
 * The attributes of a model call that decisions use.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model name in the request
 * @param promptTokens an upper bound of the number of prompt tokens
 * @param maximumTokens the maximum number of tokens to generate
 * @param streamed whether the answer is streamed while it is generated
 * @param prefixHash a hash of the start of the prompt; calls with equal hashes share a prefix
 * @param priority the requested priority
 */
public record ModelCall(
    String model,
    int promptTokens,
    int maximumTokens,
    boolean streamed,
    long prefixHash,
    Priority priority) {

  /** Validates the components. */
  public ModelCall {
    Preconditions.requireNonNull(model, "model");
    Preconditions.requireNonNegative(promptTokens, "promptTokens");
    Preconditions.requirePositive(maximumTokens, "maximumTokens");
    Preconditions.requireNonNull(priority, "priority");
  }

  /** Returns an upper bound of the number of prompt and generated tokens. */
  public long totalTokens() {
    return (long) promptTokens + maximumTokens;
  }
}
