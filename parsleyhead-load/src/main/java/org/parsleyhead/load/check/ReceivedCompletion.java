package org.parsleyhead.load.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * Accumulates the response to one completion request, whether streamed or in one body.
 *
 * <p>Confined to one thread at a time.
 */
public final class ReceivedCompletion {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String END_OF_STREAM = "[DONE]";

  private final StringBuilder text = new StringBuilder();
  private Optional<String> unexpectedModel = Optional.empty();
  private Optional<String> malformed = Optional.empty();
  private Optional<String> error = Optional.empty();
  private String finishReason = "";
  private int promptTokens = -1;
  private int completionTokens = -1;
  private boolean complete;

  /** Adds the data of one server-sent event; returns whether it contained generated text. */
  public boolean acceptEvent(String data, String model) {
    if (data.equals(END_OF_STREAM)) {
      complete = true;
      return false;
    }
    return acceptDocument(data, model);
  }

  /** Adds the body of a response that is not streamed. */
  public void acceptBody(String body, String model) {
    complete = true;
    acceptDocument(body, model);
  }

  private boolean acceptDocument(String body, String model) {
    try {
      return acceptDocument(MAPPER.readTree(body), model);
    } catch (JsonProcessingException exception) {
      malformed = Optional.of("not JSON: " + body);
      return false;
    }
  }

  private boolean acceptDocument(JsonNode document, String model) {
    if (document.has("error")) {
      error = Optional.of(document.toString());
      return false;
    }
    String respondingModel = document.path("model").asText();
    if (!respondingModel.equals(model)) {
      unexpectedModel = Optional.of(respondingModel);
    }
    if (document.path("usage").isObject()) {
      promptTokens = document.path("usage").path("prompt_tokens").asInt(-1);
      completionTokens = document.path("usage").path("completion_tokens").asInt(-1);
    }
    JsonNode choice = document.path("choices").path(0);
    if (choice.path("finish_reason").isTextual()) {
      finishReason = choice.get("finish_reason").textValue();
    }
    String part = textOf(choice);
    text.append(part);
    return !part.isEmpty();
  }

  private static String textOf(JsonNode choice) {
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

  Optional<String> unexpectedModel() {
    return unexpectedModel;
  }

  Optional<String> malformed() {
    return malformed;
  }

  /** Returns the error document contained in the response; empty if there is none. */
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

  /** Returns whether the end of the response has been received. */
  public boolean isComplete() {
    return complete;
  }
}
