package org.parsleyhead.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.standin.StandinException;
import org.parsleyhead.standin.http.HttpRequestMessage;

/**
 * Decodes completion requests in the format of the OpenAI HTTP API.
 *
 * <p>Stateless and thread-safe.
 */
final class CompletionReader {

  /** The prompt characters that one block of the prefix cache covers. */
  static final int PREFIX_BLOCK_CHARACTERS = 64;

  private static final int DEFAULT_MAXIMUM_TOKENS = 16;
  private static final int MAXIMUM_COMPLETION_TOKENS = 1_000_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CompletionReader() {}

  /**
   * Decodes a chat completion or a text completion request.
   *
   * @throws StandinException if the body is not JSON, a field is missing or a number is out of
   *     range
   */
  static CompletionRequest read(HttpRequestMessage request, boolean chat) {
    JsonNode body = parse(request.body());
    String model = body.path("model").asText();
    require(!model.isEmpty(), "model is missing");
    String prompt = chat ? chatPrompt(body) : body.path("prompt").asText();
    require(!prompt.isEmpty(), chat ? "messages are missing" : "prompt is missing");
    int maximumTokens =
        body.path("max_completion_tokens")
            .asInt(body.path("max_tokens").asInt(DEFAULT_MAXIMUM_TOKENS));
    require(
        maximumTokens > 0 && maximumTokens <= MAXIMUM_COMPLETION_TOKENS,
        "max_tokens is out of range");
    long resumeFrom = request.headerNumber("Resume-From").orElse(0L);
    require(resumeFrom <= MAXIMUM_COMPLETION_TOKENS, "Resume-From is out of range");
    return new CompletionRequest(
        model,
        chat,
        prompt,
        TokenSequence.promptTokens(prompt),
        prefixBlocks(model, prompt),
        maximumTokens,
        body.path("stream").asBoolean(),
        body.path("stream_options").path("include_usage").asBoolean(),
        body.path("priority").asInt(),
        (int) resumeFrom);
  }

  /**
   * Parses a JSON object.
   *
   * @throws StandinException if the bytes are not a JSON object
   */
  static JsonNode parse(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      require(node != null && node.isObject(), "the body must be a JSON object");
      return node;
    } catch (IOException exception) {
      throw new StandinException(StandinException.BAD_REQUEST, "the body is not JSON", exception);
    }
  }

  private static String chatPrompt(JsonNode body) {
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : body.path("messages")) {
      prompt.append(message.path("role").asText()).append(": ");
      JsonNode content = message.path("content");
      if (content.isArray()) {
        content.forEach(part -> prompt.append(part.path("text").asText()));
      } else {
        prompt.append(content.asText());
      }
      prompt.append('\n');
    }
    return prompt.toString();
  }

  private static List<Long> prefixBlocks(String model, String prompt) {
    List<Long> blocks = new ArrayList<>();
    long hash = model.hashCode();
    for (int end = PREFIX_BLOCK_CHARACTERS;
        end <= prompt.length();
        end += PREFIX_BLOCK_CHARACTERS) {
      String block = prompt.substring(end - PREFIX_BLOCK_CHARACTERS, end);
      hash = TokenSequence.mix(hash * 31 + block.hashCode());
      blocks.add(hash);
    }
    return blocks;
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new StandinException(StandinException.BAD_REQUEST, message);
    }
  }
}
