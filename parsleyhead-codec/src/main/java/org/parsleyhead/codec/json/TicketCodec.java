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
 * The JSON form of change tickets as the configuration service holds them.
 *
 * <p>Stateless and thread-safe. Unknown fields are refused.
 */
public final class TicketCodec {

  private TicketCodec() {}

  /**
   * Reads the value of {@code tickets/latest}.
   *
   * @throws CodecException if the value has another form
   */
  public static TicketNumber decodeLatest(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number");
    return numberOf(fields);
  }

  /**
   * Reads the head of a ticket.
   *
   * @throws CodecException if the value has another form
   */
  public static TicketHead decodeHead(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number", "parts", "changes");
    return JsonFields.checked(
        () -> new TicketHead(numberOf(fields), fields.smallNumber("parts"), readChanges(fields)));
  }

  /**
   * Reads one part of a ticket that has several.
   *
   * @throws CodecException if the value has another form
   */
  public static TicketPart decodePart(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number", "part", "changes");
    return JsonFields.checked(
        () -> new TicketPart(numberOf(fields), fields.smallNumber("part"), readChanges(fields)));
  }

  /** Writes the value of {@code tickets/latest}. */
  public static byte[] encodeLatest(TicketNumber number) {
    return bytes(JsonNodeFactory.instance.objectNode().put("number", number.value()));
  }

  /** Writes a ticket that fits one value. */
  public static byte[] encodeWhole(Ticket ticket) {
    return encodeHead(new TicketHead(ticket.number(), 1, ticket.changes()));
  }

  /** Writes the head of a ticket. */
  public static byte[] encodeHead(TicketHead head) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("number", head.number().value());
    node.put("parts", head.parts());
    writeChanges(node.putArray("changes"), head.changes());
    return bytes(node);
  }

  /** Writes one part of a ticket. */
  public static byte[] encodePart(TicketPart part) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("number", part.number().value());
    node.put("part", part.part());
    writeChanges(node.putArray("changes"), part.changes());
    return bytes(node);
  }

  private static TicketNumber numberOf(JsonFields fields) {
    long number = fields.number("number");
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
