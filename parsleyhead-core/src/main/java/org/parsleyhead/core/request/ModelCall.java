package org.parsleyhead.core.request;

import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.ticket.Priority;

/**
 * What decisions need to know of a call to a model.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the name that the caller gave
 * @param promptTokens an upper bound of the tokens of the prompt
 * @param maximumTokens the most tokens that may be generated
 * @param streamed whether the answer is sent as it is generated
 * @param prefixHash a hash of the beginning of the prompt; calls with equal hashes share a prefix
 * @param priority the class that the caller asked for
 */
public record ModelCall(
    String model,
    int promptTokens,
    int maximumTokens,
    boolean streamed,
    long prefixHash,
    Priority priority) {

  /** Checks the parts. */
  public ModelCall {
    Preconditions.requireNonNull(model, "model");
    Preconditions.requireNonNegative(promptTokens, "promptTokens");
    Preconditions.requirePositive(maximumTokens, "maximumTokens");
    Preconditions.requireNonNull(priority, "priority");
  }

  /** Returns an upper bound of the tokens that the call uses. */
  public long totalTokens() {
    return (long) promptTokens + maximumTokens;
  }
}
