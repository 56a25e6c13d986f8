package org.parsleyhead.codec.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.CatalogueEntry;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.VersionedItem;

@DisplayName("The snapshot codec")
class SnapshotCodecTests {

  private static final TicketNumber NUMBER = new TicketNumber(12);

  private static CatalogueEntry item(int index) {
    ClientAccountItem item =
        new ClientAccountItem(new ClientAccountName("account-" + index), index, 10);
    boolean deleted = index % 5 == 0;
    return new CatalogueEntry(
        item.key(),
        new VersionedItem(new TicketNumber(3), deleted ? Optional.empty() : Optional.of(item)));
  }

  @Test
  @DisplayName("decodes encoded heads and parts, including tombstones, to equal values")
  void roundTrip() {
    SnapshotHead head = new SnapshotHead(NUMBER, 2);
    assertEquals(head, SnapshotCodec.decodeHead(SnapshotCodec.encodeHead(head)));
    SnapshotPart part = new SnapshotPart(NUMBER, 1, List.of(item(0), item(1)));
    assertEquals(part, SnapshotCodec.decodePart(SnapshotCodec.encodePart(part)));
  }

  @Test
  @DisplayName("splits items into parts of limited size without losing any")
  void splits() {
    List<CatalogueEntry> items =
        IntStream.range(0, 100).mapToObj(SnapshotCodecTests::item).toList();
    List<SnapshotPart> parts = SnapshotCodec.split(NUMBER, items, 1_000);
    assertTrue(parts.size() > 1);
    parts.forEach(part -> assertTrue(SnapshotCodec.encodePart(part).length <= 1_000));
    assertEquals(items, parts.stream().flatMap(part -> part.items().stream()).toList());
  }

  @Test
  @DisplayName("rejects missing fields and numbers out of range")
  void rejectsInvalidHeads() {
    for (String text :
        List.of("{\"number\":1,\"parts\":0}", "{\"number\":-1,\"parts\":1}", "{\"parts\":1}")) {
      byte[] value = text.getBytes(StandardCharsets.UTF_8);
      assertThrows(CodecException.class, () -> SnapshotCodec.decodeHead(value));
    }
  }
}
