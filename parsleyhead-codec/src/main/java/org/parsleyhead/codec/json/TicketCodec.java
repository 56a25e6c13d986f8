package org.parsleyhead.codec.json;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.Ticket;

/**
 * Codec for the JSON format in which the configuration service stores tickets.
 *
 * <p>Stateless and thread-safe. Unknown fields are rejected.
 */
public final class TicketCodec {

  private TicketCodec() {}

  /**
   * Decodes the value of {@code tickets/latest}.
   *
   * @throws CodecException if the value is malformed
   */
  public static TicketNumber decodeLatest(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number");
    return readNumber(fields);
  }

  /**
   * Decodes the head of a ticket.
   *
   * @throws CodecException if the value is malformed
   */
  public static TicketHead decodeHead(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number", "parts", "changes");
    return JsonFields.translateErrors(
        () -> new TicketHead(readNumber(fields), fields.intValue("parts"), readChanges(fields)));
  }

  /**
   * Decodes one part of a multi-part ticket.
   *
   * @throws CodecException if the value is malformed
   */
  public static TicketPart decodePart(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number", "part", "changes");
    return JsonFields.translateErrors(
        () -> new TicketPart(readNumber(fields), fields.intValue("part"), readChanges(fields)));
  }

  /** Encodes the value of {@code tickets/latest}. */
  public static byte[] encodeLatest(TicketNumber number) {
    return bytes(JsonNodeFactory.instance.objectNode().put("number", number.value()));
  }

  /** Encodes a ticket as a single document. */
  public static byte[] encodeWhole(Ticket ticket) {
    return encodeHead(new TicketHead(ticket.number(), 1, ticket.changes()));
  }

  /** Encodes the head of a ticket. */
  public static byte[] encodeHead(TicketHead head) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("number", head.number().value());
    node.put("parts", head.parts());
    writeChanges(node.putArray("changes"), head.changes());
    return bytes(node);
  }

  /** Encodes one part of a multi-part ticket. */
  public static byte[] encodePart(TicketPart part) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("number", part.number().value());
    node.put("part", part.part());
    writeChanges(node.putArray("changes"), part.changes());
    return bytes(node);
  }

  private static TicketNumber readNumber(JsonFields fields) {
    long number = fields.longValue("number");
    if (number < 0) {
      throw fields.error("number", "must not be negative");
    }
    return new TicketNumber(number);
  }

  private static List<Change> readChanges(JsonFields fields) {
    return fields.objects("changes").stream()
        .map(change -> ItemCodec.readChange(change.allowOnly("kind", "name", "item")))
        .toList();
  }

  private static void writeChanges(ArrayNode list, List<Change> changes) {
    changes.stream().map(ItemCodec::writeChange).forEach(list::add);
  }

  private static byte[] bytes(ObjectNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }
}
