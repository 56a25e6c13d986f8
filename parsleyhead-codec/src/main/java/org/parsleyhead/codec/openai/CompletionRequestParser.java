package org.parsleyhead.codec.openai;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.request.ModelCall;
import org.parsleyhead.core.ticket.Priority;

/**
 * Parses the request bodies of {@code /chat/completions} and {@code /completions}.
 *
 * <p>Immutable and thread-safe. Unknown fields are forwarded unchanged.
 */
public final class CompletionRequestParser {

  private static final int MAXIMUM_NESTING_DEPTH = 64;
  private static final int PREFIX_CHARACTERS = 512;
  private static final int TOKENS_PER_MESSAGE = 8;
  private static final int INTERACTIVE_PRIORITY = 0;
  private static final int BATCH_PRIORITY = 10;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder()
                          .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                          .build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .build();

  private final int bytesPerPromptToken;
  private final int defaultMaximumTokens;

  /**
   * Creates a parser.
   *
   * @param bytesPerPromptToken the assumed minimum number of prompt bytes per token
   * @param defaultMaximumTokens the maximum number of generated tokens if the caller sets none
   */
  public CompletionRequestParser(int bytesPerPromptToken, int defaultMaximumTokens) {
    this.bytesPerPromptToken =
        (int) Preconditions.requirePositive(bytesPerPromptToken, "bytesPerPromptToken");
    this.defaultMaximumTokens =
        (int) Preconditions.requirePositive(defaultMaximumTokens, "defaultMaximumTokens");
  }

  /**
   * Parses a body.
   *
   * @throws CodecException if it is not a completion request; the message names the invalid field
   */
  public CompletionRequest parse(byte[] body) {
    ObjectNode root = readObject(body);
    String model = text(root, "model");
    boolean chat = root.has("messages");
    JsonNode prompt = root.path(chat ? "messages" : "prompt");
    if (chat ? !prompt.isArray() || prompt.isEmpty() : !prompt.isTextual() && !prompt.isArray()) {
      throw error(chat ? "messages" : "prompt", chat ? "must be a list" : "is missing");
    }
    boolean streamed = flag(root, "stream");
    int maximumTokens = maximumTokens(root);
    Priority priority = number(root, "priority", 0) > 0 ? Priority.BATCH : Priority.INTERACTIVE;
    String promptText = prompt.toString();
    boolean usageRequested = flag(root.path("stream_options"), "include_usage");
    return new CompletionRequest(
        new ModelCall(
            model,
            promptTokens(prompt, promptText),
            maximumTokens,
            streamed,
            prefixHash(promptText),
            priority),
        usageRequested,
        upstreamBody(root, streamed, maximumTokens, priority));
  }

  private int promptTokens(JsonNode prompt, String promptText) {
    int bytes = promptText.getBytes(StandardCharsets.UTF_8).length;
    int messages = prompt.isArray() ? prompt.size() : 1;
    return bytes / bytesPerPromptToken + messages * TOKENS_PER_MESSAGE;
  }

  private int maximumTokens(ObjectNode root) {
    String name = root.hasNonNull("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    long value = number(root, name, defaultMaximumTokens);
    if (value < 1 || value > Integer.MAX_VALUE) {
      throw error(name, "must be a positive whole number");
    }
    long choices = number(root, "n", 1);
    if (choices != 1) {
      throw error("n", "must be 1");
    }
    return (int) value;
  }

  private static ObjectNode upstreamBody(
      ObjectNode root, boolean streamed, int maximumTokens, Priority priority) {
    ObjectNode body = root.deepCopy();
    body.remove("max_completion_tokens");
    body.put("max_tokens", maximumTokens);
    body.put("priority", priority == Priority.BATCH ? BATCH_PRIORITY : INTERACTIVE_PRIORITY);
    if (streamed) {
      body.putObject("stream_options").put("include_usage", true);
    }
    return body;
  }

  private static long prefixHash(String promptText) {
    return Rendezvous.hash(
        promptText.substring(0, Math.min(PREFIX_CHARACTERS, promptText.length())));
  }

  private static ObjectNode readObject(byte[] body) {
    try {
      JsonNode root = MAPPER.readTree(body);
      if (root instanceof ObjectNode object) {
        return object;
      }
      throw new CodecException(CodecException.MALFORMED, "the body must be a JSON object");
    } catch (JsonProcessingException exception) {
      throw new CodecException(
          CodecException.MALFORMED,
          "the body is not JSON: " + exception.getOriginalMessage(),
          exception);
    } catch (IOException exception) {
      throw new CodecException(CodecException.MALFORMED, "the body is not JSON", exception);
    }
  }

  private static String text(ObjectNode root, String name) {
    JsonNode node = root.path(name);
    if (!node.isTextual()) {
      throw error(name, "must be a string");
    }
    return node.textValue();
  }

  private static boolean flag(JsonNode parent, String name) {
    JsonNode node = parent.path(name);
    if (node.isMissingNode() || node.isNull()) {
      return false;
    }
    if (!node.isBoolean()) {
      throw error(name, "must be true or false");
    }
    return node.booleanValue();
  }

  private static long number(ObjectNode root, String name, long defaultValue) {
    JsonNode node = root.path(name);
    if (node.isMissingNode() || node.isNull()) {
      return defaultValue;
    }
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw error(name, "must be a whole number");
    }
    return node.longValue();
  }

  private static CodecException error(String field, String expectation) {
    return new CodecException(CodecException.MALFORMED, field + " " + expectation);
  }
}
