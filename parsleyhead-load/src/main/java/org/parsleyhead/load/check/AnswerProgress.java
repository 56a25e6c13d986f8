package org.parsleyhead.load.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * What has been received of the answer to one completion.
 *
 * <p>Confined to one thread at a time.
 */
public final class AnswerProgress {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DONE = "[DONE]";

  private final StringBuilder text = new StringBuilder();
  private Optional<String> foreignModel = Optional.empty();
  private Optional<String> malformed = Optional.empty();
  private Optional<String> error = Optional.empty();
  private String finishReason = "";
  private int promptTokens = -1;
  private int completionTokens = -1;
  private boolean done;

  /** Takes the data of one event; tells whether it brought a part of the text. */
  public boolean event(String data, String model) {
    if (data.equals(DONE)) {
      done = true;
      return false;
    }
    return document(data, model);
  }

  /** Takes a whole answer. */
  public void whole(String body, String model) {
    done = true;
    document(body, model);
  }

  private boolean document(String body, String model) {
    try {
      return document(MAPPER.readTree(body), model);
    } catch (JsonProcessingException exception) {
      malformed = Optional.of("not JSON: " + body);
      return false;
    }
  }

  private boolean document(JsonNode document, String model) {
    if (document.has("error")) {
      error = Optional.of(document.toString());
      return false;
    }
    String answered = document.path("model").asText();
    if (!answered.equals(model)) {
      foreignModel = Optional.of(answered);
    }
    if (document.path("usage").isObject()) {
      promptTokens = document.path("usage").path("prompt_tokens").asInt(-1);
      completionTokens = document.path("usage").path("completion_tokens").asInt(-1);
    }
    JsonNode choice = document.path("choices").path(0);
    if (choice.path("finish_reason").isTextual()) {
      finishReason = choice.get("finish_reason").textValue();
    }
    String part = partOf(choice);
    text.append(part);
    return !part.isEmpty();
  }

  private static String partOf(JsonNode choice) {
    if (choice.path("delta").path("content").isTextual()) {
      return choice.get("delta").get("content").textValue();
    }
    if (choice.path("message").path("content").isTextual()) {
      return choice.get("message").get("content").textValue();
    }
    return choice.path("text").asText("");
  }

  String text() {
    return text.toString();
  }

  Optional<String> foreignModel() {
    return foreignModel;
  }

  Optional<String> malformed() {
    return malformed;
  }

  /** Returns the error that stood in the stream. */
  public Optional<String> error() {
    return error;
  }

  String finishReason() {
    return finishReason;
  }

  int promptTokens() {
    return promptTokens;
  }

  int completionTokens() {
    return completionTokens;
  }

  /** Tells whether the answer has its end. */
  public boolean done() {
    return done;
  }
}
