package org.parsleyhead.core.dispatch;

import java.util.List;
import java.util.stream.Collectors;
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

  private static final int MAXIMUM_LOGGED_PARTS = 8;

  /** Validates the components and copies the list. */
  public ModelWork {
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requireNonNegative(promptTokens, "promptTokens");
    Preconditions.requireNonNegative(maximumOutputTokens, "maximumOutputTokens");
    parts = List.copyOf(parts);
  }

  /**
   * Returns the parts that other requests may have in common; the last one is the request's own.
   */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the hexadecimal identities of the first shared parts, for the log. */
  public String sharedPartNames() {
    return sharedParts().stream()
        .limit(MAXIMUM_LOGGED_PARTS)
        .map(part -> Long.toHexString(part.identity()))
        .collect(Collectors.joining(","));
  }

  /** Returns the maximum number of tokens that a server holds when the request completes. */
  public int totalTokens() {
    return promptTokens + maximumOutputTokens;
  }
}
