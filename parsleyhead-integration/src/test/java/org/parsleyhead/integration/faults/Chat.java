package org.parsleyhead.integration.faults;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.parsleyhead.standin.engine.TokenSequence;

/**
 * A streamed chat request and the answer that it must have.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the adapter with its version
 * @param prompt the text of the only message
 * @param tokens the length of the answer
 */
record Chat(String model, String prompt, int tokens) {

  /** Where chat requests go. */
  static final String PATH = "/v1/chat/completions";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA = "data: ";
  private static final String DONE = "[DONE]";

  /** Returns the body of the request. */
  String body() {
    return "{\"model\":\""
        + model
        + "\",\"stream\":true,\"stream_options\":{\"include_usage\":true},\"max_tokens\":"
        + tokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + prompt
        + "\"}]}";
  }

  /** Returns what is wrong with an answer; empty if it is whole and right. */
  Optional<String> problem(String events) {
    StringBuilder text = new StringBuilder();
    int promptTokens = -1;
    int completionTokens = -1;
    boolean done = false;
    for (String line : events.lines().filter(one -> one.startsWith(DATA)).toList()) {
      String data = line.substring(DATA.length());
      if (data.equals(DONE)) {
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
    return problem(text.toString(), promptTokens, completionTokens, done);
  }

  private Optional<String> problem(String text, int prompted, int completed, boolean done) {
    String seen = "user: " + prompt + "\n";
    if (!text.equals(TokenSequence.of(model, seen).text(0, tokens))) {
      return Optional.of("text differs: " + text);
    }
    if (prompted != TokenSequence.promptTokens(seen) || completed != tokens) {
      return Optional.of("usage is " + prompted + " and " + completed);
    }
    return done ? Optional.empty() : Optional.of("no end");
  }

  private static JsonNode parse(String data) {
    try {
      return MAPPER.readTree(data);
    } catch (JsonProcessingException exception) {
      throw new AssertionError("not JSON: " + data, exception);
    }
  }
}
