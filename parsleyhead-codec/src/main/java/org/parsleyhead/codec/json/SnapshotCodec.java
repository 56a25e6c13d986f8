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
 * Codec for the JSON format of published snapshots.
 *
 * <p>Stateless and thread-safe. Unknown fields are rejected.
 */
public final class SnapshotCodec {

  private SnapshotCodec() {}

  /**
   * Decodes the value of {@code snapshot/latest}.
   *
   * @throws CodecException if the value is malformed
   */
  public static SnapshotHead decodeHead(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number", "parts");
    return JsonFields.translateErrors(
        () -> new SnapshotHead(readNumber(fields, "number"), fields.intValue("parts")));
  }

  /**
   * Decodes one part of a snapshot.
   *
   * @throws CodecException if the value is malformed
   */
  public static SnapshotPart decodePart(byte[] value) {
    JsonFields fields = JsonFields.parse(value).allowOnly("number", "part", "items");
    return JsonFields.translateErrors(
        () ->
            new SnapshotPart(
                readNumber(fields, "number"),
                fields.intValue("part"),
                fields.objects("items").stream().map(SnapshotCodec::readItem).toList()));
  }

  /** Encodes the value of {@code snapshot/latest}. */
  public static byte[] encodeHead(SnapshotHead head) {
    return bytes(
        JsonNodeFactory.instance
            .objectNode()
            .put("number", head.number().value())
            .put("parts", head.parts()));
  }

  /** Encodes one part of a snapshot. */
  public static byte[] encodePart(SnapshotPart part) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("number", part.number().value());
    node.put("part", part.part());
    ArrayNode items = node.putArray("items");
    part.items().forEach(item -> items.add(writeItem(item)));
    return bytes(node);
  }

  /**
   * Splits items into parts whose encodings do not exceed a number of bytes.
   *
   * @throws CodecException if a single item exceeds it
   */
  public static List<SnapshotPart> split(
      TicketNumber number, List<CatalogueEntry> items, int maximumBytes) {
    List<SnapshotPart> parts = new ArrayList<>();
    List<CatalogueEntry> partItems = new ArrayList<>();
    int emptyPartSize = encodePart(new SnapshotPart(number, Integer.MAX_VALUE, List.of())).length;
    int size = emptyPartSize;
    for (CatalogueEntry item : items) {
      int length = bytes(writeItem(item)).length + 1;
      if (emptyPartSize + length > maximumBytes) {
        throw new CodecException(CodecException.TOO_LARGE, item.key() + " is too large");
      }
      if (size + length > maximumBytes) {
        parts.add(new SnapshotPart(number, parts.size() + 1, partItems));
        partItems = new ArrayList<>();
        size = emptyPartSize;
      }
      partItems.add(item);
      size += length;
    }
    parts.add(new SnapshotPart(number, parts.size() + 1, partItems));
    return parts;
  }

  private static CatalogueEntry readItem(JsonFields fields) {
    fields.allowOnly("kind", "name", "item", "ticket");
    Change change = ItemCodec.readChange(fields);
    return new CatalogueEntry(
        change.key(), new VersionedItem(readNumber(fields, "ticket"), change.item()));
  }

  private static ObjectNode writeItem(CatalogueEntry item) {
    ObjectNode node = ItemCodec.writeChange(new Change(item.key(), item.versioned().item()));
    return node.put("ticket", item.versioned().number().value());
  }

  private static TicketNumber readNumber(JsonFields fields, String name) {
    long number = fields.longValue(name);
    if (number < 0) {
      throw fields.error(name, "must not be negative");
    }
    return new TicketNumber(number);
  }

  private static byte[] bytes(ObjectNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }
}
