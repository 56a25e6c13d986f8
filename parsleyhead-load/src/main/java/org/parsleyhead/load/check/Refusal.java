package org.parsleyhead.load.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * What a refusal says: its code, and whether the request ran.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code the stable code; empty if there is none
 * @param run {@code not_run}, {@code unknown}, or empty if the refusal says neither
 */
public record Refusal(String code, String run) {

  /** What a refusal says of a request that did not run. */
  public static final String NOT_RUN = "not_run";

  private static final String UNKNOWN = "unknown";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads the body of a refusal. */
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
