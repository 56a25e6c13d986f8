package org.parsleyhead.codec.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.parsleyhead.codec.CodecException;

/**
 * What a whole answer of the completions API says of itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model that generated it, if the answer names one
 * @param totalTokens the tokens of prompt and answer; empty if the answer does not report them
 */
public record CompletionAnswer(Optional<String> model, Optional<Long> totalTokens) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Parses an answer.
   *
   * @throws CodecException if the body is not JSON
   */
  public static CompletionAnswer parse(byte[] body) {
    try {
      JsonNode root = MAPPER.readTree(body);
      JsonNode total = root.path("usage").path("total_tokens");
      return new CompletionAnswer(
          Optional.ofNullable(root.path("model").textValue()),
          total.isIntegralNumber() ? Optional.of(total.longValue()) : Optional.empty());
    } catch (IOException exception) {
      throw new CodecException(CodecException.MALFORMED, "the answer is not JSON", exception);
    }
  }
}
