package org.parsleyhead.core.dispatch;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.instance.AdapterKey;

/**
 * The inference that a request asks of a model server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adapter the model and adapter that the request names
 * @param promptTokens the length of the prompt, in tokens
 * @param maximumOutputTokens the maximum number of tokens that are generated
 * @param parts the parts of the prompt, in order; may be empty
 */
public record ModelWork(
    AdapterKey adapter, int promptTokens, int maximumOutputTokens, List<PromptPart> parts) {

  /** Validates the components and copies the list. */
  public ModelWork {
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requireNonNegative(promptTokens, "promptTokens");
    Preconditions.requireNonNegative(maximumOutputTokens, "maximumOutputTokens");
    parts = List.copyOf(parts);
  }

  /** Returns the maximum number of tokens that a server holds when the request completes. */
  public int totalTokens() {
    return promptTokens + maximumOutputTokens;
  }
}
