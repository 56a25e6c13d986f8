package org.parsleyhead.runtime.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.TicketNumber;

/**
 * Encodes and decodes the ticket status of a host in JSON.
 *
 * <p>Stateless and thread-safe. Unknown fields are ignored, so that hosts and tools of adjacent
 * releases are compatible.
 */
public final class TicketStatusJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private TicketStatusJson() {}

  /** Encodes a status. */
  public static String encode(TicketStatus status) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("host", status.host().text())
        .put("in_force", status.appliedThrough().value())
        .put("heard_of", status.highestKnown().value())
        .put("items", status.items())
        .put("digest", status.digest())
        .put("heard_from", status.source())
        .toString();
  }

  /**
   * Decodes a status.
   *
   * @throws AdministrationException if the text is not a valid status
   */
  public static TicketStatus decode(String text) {
    try {
      JsonNode node = MAPPER.readTree(text);
      return new TicketStatus(
          new HostName(node.path("host").asText()),
          new TicketNumber(node.path("in_force").asLong(-1)),
          new TicketNumber(node.path("heard_of").asLong(-1)),
          node.path("items").asLong(-1),
          node.path("digest").asText(),
          node.path("heard_from").asText());
    } catch (JsonProcessingException | InvalidValueException exception) {
      throw new AdministrationException(
          AdministrationException.MALFORMED_RESPONSE, "malformed ticket status", exception);
    }
  }
}
