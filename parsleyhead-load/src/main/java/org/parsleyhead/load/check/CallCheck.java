package org.parsleyhead.load.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.parsleyhead.load.plan.PlannedRequest;
import org.parsleyhead.standin.ledger.ContentDigest;

/**
 * Verifies the response of a plain service to a call.
 *
 * <p>Stateless and thread-safe.
 */
public final class CallCheck {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CallCheck() {}

  /** Returns the problem of a response; empty if it is JSON with the digest of the call's body. */
  public static Optional<String> findProblem(PlannedRequest request, String body) {
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
