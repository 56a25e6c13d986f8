package org.parsleyhead.load.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.standin.ledger.ContentDigest;

/**
 * Checks the answer of a plain service against its call.
 *
 * <p>Stateless and thread-safe.
 */
public final class CallCheck {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CallCheck() {}

  /** Returns what is wrong with an answer; empty if it belongs to the call and is whole. */
  public static Optional<String> problem(PlannedRequest request, String body) {
    try {
      JsonNode document = MAPPER.readTree(body);
      String digest = document.path("body_digest").asText();
      return digest.equals(ContentDigest.of(request.content()))
          ? Optional.empty()
          : Optional.of("answer to another call: " + body);
    } catch (JsonProcessingException exception) {
      return Optional.of("not JSON: " + body);
    }
  }
}
