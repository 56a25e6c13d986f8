package org.parsleyhead.codec.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.parsleyhead.codec.CodecException;

/**
 * The model and token usage that a complete response of the completions API reports.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model that generated the response; empty if it names none
 * @param totalTokens the number of prompt and generated tokens; empty if it is not reported
 */
public record CompletionResponse(Optional<String> model, Optional<Long> totalTokens) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Parses the body of a response.
   *
   * @throws CodecException if the body is not JSON
   */
  public static CompletionResponse parse(byte[] body) {
    try {
      JsonNode root = MAPPER.readTree(body);
      JsonNode total = root.path("usage").path("total_tokens");
      return new CompletionResponse(
          Optional.ofNullable(root.path("model").textValue()),
          total.isIntegralNumber() ? Optional.of(total.longValue()) : Optional.empty());
    } catch (IOException exception) {
      throw new CodecException(CodecException.MALFORMED, "the answer is not JSON", exception);
    }
  }
}
