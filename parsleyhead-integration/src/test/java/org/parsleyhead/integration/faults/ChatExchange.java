package org.parsleyhead.integration.faults;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.parsleyhead.standin.engine.TokenSequence;

/**
 * A streamed chat request and the check of its response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the name and version of the adapter
 * @param prompt the content of the only message
 * @param tokens the length of the answer in tokens
 */
record ChatExchange(String model, String prompt, int answerTokens) {

  /** The path of chat requests. */
  static final String PATH = "/v1/chat/completions";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA_PREFIX = "data: ";
  private static final String END_MARKER = "[DONE]";

  /** Returns the request body in JSON. */
  String requestBody() {
    return "{\"model\":\""
        + model
        + "\",\"stream\":true,\"stream_options\":{\"include_usage\":true},\"max_tokens\":"
        + answerTokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + prompt
        + "\"}]}";
  }

  /** Returns the first defect of a response body; empty if it is complete and correct. */
  Optional<String> findProblem(String events) {
    StringBuilder text = new StringBuilder();
    int promptTokens = -1;
    int completionTokens = -1;
    boolean done = false;
    for (String line : events.lines().filter(one -> one.startsWith(DATA_PREFIX)).toList()) {
      String data = line.substring(DATA_PREFIX.length());
      if (data.equals(END_MARKER)) {
        done = true;
        continue;
      }
      JsonNode document = parse(data);
      if (document.has("error")) {
        return Optional.of("error: " + data);
      }
      text.append(document.path("choices").path(0).path("delta").path("content").asText(""));
      promptTokens = document.path("usage").path("prompt_tokens").asInt(promptTokens);
      completionTokens = document.path("usage").path("completion_tokens").asInt(completionTokens);
    }
    return findProblem(text.toString(), promptTokens, completionTokens, done);
  }

  private Optional<String> findProblem(String text, int prompted, int completed, boolean done) {
    String rendered = "user: " + prompt + "\n";
    if (!text.equals(TokenSequence.of(model, rendered).text(0, answerTokens))) {
      return Optional.of("text differs: " + text);
    }
    if (prompted != TokenSequence.promptTokens(rendered) || completed != answerTokens) {
      return Optional.of("wrong usage: " + prompted + " and " + completed);
    }
    return done ? Optional.empty() : Optional.of("no end marker");
  }

  private static JsonNode parse(String data) {
    try {
      return MAPPER.readTree(data);
    } catch (JsonProcessingException exception) {
      throw new AssertionError("event is not JSON: " + data, exception);
    }
  }
}
