package org.parsleyhead.codec.json;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.TicketNumber;

/**
 * The JSON form of snapshots as the configuration service holds them.
 *
 * <p>Stateless and thread-safe. Unknown fields are refused.
 */
public final class SnapshotCodec {

  private SnapshotCodec() {}

  /**
   * Reads the value of {@code snapshot/latest}.
   *
   * @throws CodecException if the value has another form
   */
  public static SnapshotHead decodeHead(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number", "parts");
    return JsonFields.checked(
        () -> new SnapshotHead(number(fields, "number"), fields.smallNumber("parts")));
  }

  /**
   * Reads one part of a snapshot.
   *
   * @throws CodecException if the value has another form
   */
  public static SnapshotPart decodePart(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number", "part", "items");
    return JsonFields.checked(
        () ->
            new SnapshotPart(
                number(fields, "number"),
                fields.smallNumber("part"),
                fields.objects("items").stream().map(SnapshotCodec::readItem).toList()));
  }

  /** Writes the value of {@code snapshot/latest}. */
  public static byte[] encodeHead(SnapshotHead head) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("number", head.number().value());
    node.put("parts", head.parts());
    return bytes(node);
  }

  /** Writes one part of a snapshot. */
  public static byte[] encodePart(SnapshotPart part) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("number", part.number().value());
    node.put("part", part.part());
    ArrayNode items = node.putArray("items");
    part.items().forEach(item -> items.add(writeItem(item)));
    return bytes(node);
  }

  private static SnapshotItem readItem(JsonFields fields) {
    fields.allowOnly("kind", "name", "item", "ticket");
    return new SnapshotItem(number(fields, "ticket"), ItemCodec.readChange(fields));
  }

  private static ObjectNode writeItem(SnapshotItem item) {
    return ItemCodec.writeChange(item.change()).put("ticket", item.ticket().value());
  }

  private static TicketNumber number(JsonFields fields, String name) {
    try {
      return new TicketNumber(fields.number(name));
    } catch (InvalidValueException exception) {
      throw fields.error(name, "must not be negative");
    }
  }

  private static byte[] bytes(ObjectNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }
}
