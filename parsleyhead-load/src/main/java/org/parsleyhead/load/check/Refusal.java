package org.parsleyhead.load.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The code of a refusal, and its statement on whether the request ran.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code the error code, or the error type if there is no code; empty if there is neither
 * @param run {@code not_run} or {@code unknown}; empty if the refusal states neither
 */
public record Refusal(String code, String run) {

  /** The statement that the request did not run. */
  public static final String NOT_RUN = "not_run";

  private static final String UNKNOWN = "unknown";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads a refusal from the body of a response; all fields are empty if it is not JSON. */
  public static Refusal read(String body) {
    try {
      JsonNode document = MAPPER.readTree(body);
      JsonNode error = document.path("error").isObject() ? document.get("error") : document;
      return new Refusal(codeOf(error), runOf(error, document));
    } catch (JsonProcessingException exception) {
      return new Refusal("", "");
    }
  }

  private static String codeOf(JsonNode error) {
    return error.path("code").isTextual()
        ? error.get("code").textValue()
        : error.path("type").asText();
  }

  private static String runOf(JsonNode error, JsonNode document) {
    for (JsonNode object : new JsonNode[] {error, document}) {
      for (JsonNode value : object) {
        if (value.isTextual()
            && (value.textValue().equals(NOT_RUN) || value.textValue().equals(UNKNOWN))) {
          return value.textValue();
        }
      }
    }
    return "";
  }
}
