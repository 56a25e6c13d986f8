package org.parsleyhead.codec.json;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.CatalogueEntry;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.VersionedItem;

/**
 * The JSON form of published snapshots.
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
    return bytes(
        JsonNodeFactory.instance
            .objectNode()
            .put("number", head.number().value())
            .put("parts", head.parts()));
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

  /**
   * Cuts items into parts whose values stay within a number of bytes.
   *
   * @throws CodecException if a single item is longer than that
   */
  public static List<SnapshotPart> split(
      TicketNumber number, List<CatalogueEntry> items, int maximumBytes) {
    List<SnapshotPart> parts = new ArrayList<>();
    List<CatalogueEntry> collected = new ArrayList<>();
    int empty = encodePart(new SnapshotPart(number, Integer.MAX_VALUE, List.of())).length;
    int size = empty;
    for (CatalogueEntry item : items) {
      int length = bytes(writeItem(item)).length + 1;
      if (empty + length > maximumBytes) {
        throw new CodecException(CodecException.TOO_LARGE, item.key() + " is too large");
      }
      if (size + length > maximumBytes) {
        parts.add(new SnapshotPart(number, parts.size() + 1, collected));
        collected = new ArrayList<>();
        size = empty;
      }
      collected.add(item);
      size += length;
    }
    parts.add(new SnapshotPart(number, parts.size() + 1, collected));
    return parts;
  }

  private static CatalogueEntry readItem(JsonFields fields) {
    fields.allowOnly("kind", "name", "item", "ticket");
    Change change = ItemCodec.readChange(fields);
    return new CatalogueEntry(
        change.key(), new VersionedItem(number(fields, "ticket"), change.item()));
  }

  private static ObjectNode writeItem(CatalogueEntry item) {
    ObjectNode node = ItemCodec.writeChange(new Change(item.key(), item.versioned().item()));
    return node.put("ticket", item.versioned().number().value());
  }

  private static TicketNumber number(JsonFields fields, String name) {
    long number = fields.number(name);
    if (number < 0) {
      throw fields.error(name, "must not be negative");
    }
    return new TicketNumber(number);
  }

  private static byte[] bytes(ObjectNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }
}
