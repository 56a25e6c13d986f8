package org.parsleyhead.standin.engine;

import java.util.List;

/**
 * What an engine is asked to generate.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the base model or an adapter with its version
 * @param chat whether the answer has the form of a chat completion
 * @param prompt the whole prompt
 * @param promptTokens its length in tokens
 * @param prefixBlocks a hash of each prefix of the prompt that ends at a block boundary
 * @param maximumTokens the greatest length of the answer in tokens
 * @param streamed whether tokens are sent as they are generated
 * @param usageInSeparateChunk whether usage follows in a chunk of its own
 * @param priority the priority; lower values run first
 * @param resumeFrom how many tokens of the answer the caller already has
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

  /** Copies the blocks. */
  public CompletionRequest {
    prefixBlocks = List.copyOf(prefixBlocks);
  }

  /** Returns the tokens of the answer. */
  public TokenSequence tokens() {
    return TokenSequence.of(model, prompt);
  }
}
