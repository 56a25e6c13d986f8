package org.parsleyhead.runtime.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.NoSuchElementException;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.ItemKind;
import org.parsleyhead.runtime.audit.AuditChange;
import org.parsleyhead.runtime.audit.AuditEntry;
import org.parsleyhead.runtime.audit.AuditExcerpt;

/**
 * Encodes and decodes the audit trail in JSON.
 *
 * <p>Stateless and thread-safe. Unknown fields are ignored, so that hosts and tools of adjacent
 * releases are compatible.
 */
public final class AuditJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private AuditJson() {}

  /** Encodes an excerpt. */
  public static String encode(AuditExcerpt excerpt) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("first_sequence", excerpt.firstSequence());
    node.put("last_sequence", excerpt.lastSequence());
    ArrayNode entries = node.putArray("entries");
    excerpt.entries().forEach(entry -> entries.add(encodeEntry(entry)));
    return node.toString();
  }

  /**
   * Decodes an excerpt.
   *
   * @throws AdministrationException if the text is not a valid excerpt
   */
  public static AuditExcerpt decode(String text) {
    try {
      JsonNode node = MAPPER.readTree(text);
      List<AuditEntry> entries = new ArrayList<>();
      node.path("entries").forEach(entry -> entries.add(decodeEntry(entry)));
      return new AuditExcerpt(
          node.required("first_sequence").asLong(),
          node.required("last_sequence").asLong(),
          entries);
    } catch (JsonProcessingException
        | InvalidValueException
        | DateTimeException
        | NoSuchElementException
        | IllegalArgumentException exception) {
      throw new AdministrationException(
          AdministrationException.MALFORMED_RESPONSE, "malformed audit trail", exception);
    }
  }

  private static ObjectNode encodeEntry(AuditEntry entry) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("sequence", entry.sequence())
        .put("ticket", entry.ticket().value())
        .put("kind", entry.change().item().kind().text())
        .put("name", entry.change().item().name())
        .put("action", entry.change().action().text())
        .put("heard_from", entry.source())
        .put("in_force_since", entry.appliedAt().toString());
  }

  private static AuditEntry decodeEntry(JsonNode node) {
    String kind = node.path("kind").asText();
    String action = node.path("action").asText();
    ItemKind itemKind =
        Arrays.stream(ItemKind.values())
            .filter(candidate -> candidate.text().equals(kind))
            .findFirst()
            .orElseThrow();
    AuditChange.Action itemAction =
        Arrays.stream(AuditChange.Action.values())
            .filter(candidate -> candidate.text().equals(action))
            .findFirst()
            .orElseThrow();
    return new AuditEntry(
        node.path("sequence").asLong(),
        new TicketNumber(node.path("ticket").asLong()),
        new AuditChange(new ItemKey(itemKind, node.path("name").asText()), itemAction),
        node.path("heard_from").asText(),
        Instant.parse(node.path("in_force_since").asText()));
  }
}
