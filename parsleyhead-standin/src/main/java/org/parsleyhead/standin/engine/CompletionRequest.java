package org.parsleyhead.standin.engine;

import java.util.List;

/**
 * A decoded completion request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the base model, or an adapter with its version
 * @param chat whether the response is a chat completion rather than a text completion
 * @param prompt the whole prompt
 * @param promptTokens the length of the prompt in tokens
 * @param prefixBlocks a hash of each prefix of the prompt that ends at a block boundary
 * @param maximumTokens the maximum length of the completion in tokens
 * @param streamed whether each token is sent as soon as it is generated
 * @param usageInSeparateChunk whether a stream reports the token usage in an additional last chunk
 * @param priority the priority; lower values run first
 * @param resumeFrom how many tokens of the completion the caller already has
 */
public record CompletionRequest(
    String model,
    boolean chat,
    String prompt,
    int promptTokens,
    List<Long> prefixBlocks,
    int maximumTokens,
    boolean streamed,
    boolean usageInSeparateChunk,
    int priority,
    int resumeFrom) {

  /** Copies the prefix blocks. */
  public CompletionRequest {
    prefixBlocks = List.copyOf(prefixBlocks);
  }

  /** Returns the tokens of the completion. */
  public TokenSequence tokens() {
    return TokenSequence.of(model, prompt);
  }
}
