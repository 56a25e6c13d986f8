package org.parsleyhead.codec.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.ticket.CatalogueEntry;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.core.ticket.VersionedItem;

@Label("The JSON codecs")
class JsonCodecTests {

  private static final String SEED = "20260704";
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final List<String> REPLACEMENT_VALUES =
      List.of(
          "null",
          "-1",
          "0",
          "1e400",
          "99999999999999999999",
          "\"\"",
          "\" \"",
          "\"x\"",
          "true",
          "[]",
          "{}",
          "[null]",
          "[[1]]",
          "\"\\u0000\"",
          "2147483648",
          "0.5");

  private static final List<Function<byte[], Object>> DECODERS =
      List.of(
          TicketCodec::decodeLatest,
          TicketCodec::decodeHead,
          TicketCodec::decodePart,
          SnapshotCodec::decodeHead,
          SnapshotCodec::decodePart,
          HostListCodec::decode);

  @Provide
  Arbitrary<Ticket> tickets() {
    return CoreArbitraries.tickets();
  }

  @Provide
  Arbitrary<HostList> hostLists() {
    return CoreArbitraries.hostLists();
  }

  @Property(seed = SEED, tries = 200)
  @Label("decode encoded tickets and snapshots to equal values")
  void roundTripOfTickets(@ForAll("tickets") Ticket ticket) {
    TicketHead head = new TicketHead(ticket.number(), 1, ticket.changes());
    TicketPart part = new TicketPart(ticket.number(), 2, ticket.changes());
    assertEquals(head, TicketCodec.decodeHead(TicketCodec.encodeWhole(ticket)));
    assertEquals(part, TicketCodec.decodePart(TicketCodec.encodePart(part)));
    assertEquals(
        ticket.number(), TicketCodec.decodeLatest(TicketCodec.encodeLatest(ticket.number())));
    SnapshotPart snapshot = snapshotOf(ticket);
    assertEquals(snapshot, SnapshotCodec.decodePart(SnapshotCodec.encodePart(snapshot)));
  }

  @Property(seed = SEED, tries = 200)
  @Label("decode encoded host lists to equal values")
  void roundTripOfHostLists(@ForAll("hostLists") HostList list) {
    assertEquals(list, HostListCodec.decode(HostListCodec.encode(list)));
  }

  @Property(seed = SEED, tries = 1_000)
  @Label("throw only codec exceptions for documents in which a value was replaced")
  void replacedValues(
      @ForAll("tickets") Ticket ticket,
      @ForAll("hostLists") HostList list,
      @ForAll int position,
      @ForAll @IntRange(max = 15) int value) {
    for (byte[] document : documents(ticket, list)) {
      decodeAll(replaceValue(document, position, REPLACEMENT_VALUES.get(value)));
    }
  }

  @Property(seed = SEED, tries = 500)
  @Label("throw only codec exceptions for documents with corrupted bytes")
  void corruptedBytes(
      @ForAll("tickets") Ticket ticket,
      @ForAll("hostLists") HostList list,
      @ForAll @Size(max = 4) List<@IntRange(max = 1_000_000) Integer> positions,
      @ForAll byte replacement) {
    for (byte[] document : documents(ticket, list)) {
      positions.forEach(position -> document[position % document.length] = replacement);
      decodeAll(document);
    }
  }

  @Property(seed = SEED, tries = 500)
  @Label("throw only codec exceptions for arbitrary bytes")
  void arbitraryBytes(@ForAll byte[] bytes) {
    decodeAll(bytes);
  }

  @Example
  @Label("name the path of an invalid field")
  void namesTheField() {
    String text =
        "{\"number\":1,\"parts\":1,\"changes\":[{\"kind\":\"adapter\",\"name\":\"a\",\"item\":"
            + "{\"base_model\":\"b\",\"versions\":[0],\"weights_path\":\"w\","
            + "\"client_accounts\":[]}}]}";
    CodecException exception =
        assertThrows(CodecException.class, () -> TicketCodec.decodeHead(bytes(text)));
    assertTrue(exception.getMessage().startsWith("changes[0].item"), exception.getMessage());
    assertEquals(CodecException.MALFORMED, exception.code());
  }

  @Example
  @Label("reject deep nesting, duplicate fields and trailing content")
  void unsupportedDocuments() {
    for (String text :
        List.of("[".repeat(100_000), "{\"number\":1,\"number\":2}", "{\"number\":1} {}")) {
      assertThrows(CodecException.class, () -> TicketCodec.decodeLatest(bytes(text)));
    }
  }

  private static void decodeAll(byte[] document) {
    for (Function<byte[], Object> decoder : DECODERS) {
      try {
        decoder.apply(document);
      } catch (CodecException exception) {
        assertEquals(CodecException.MALFORMED, exception.code());
      }
    }
  }

  private static List<byte[]> documents(Ticket ticket, HostList list) {
    return List.of(
        TicketCodec.encodeLatest(ticket.number()),
        TicketCodec.encodeWhole(ticket),
        TicketCodec.encodePart(new TicketPart(ticket.number(), 1, ticket.changes())),
        SnapshotCodec.encodeHead(new SnapshotHead(ticket.number(), 3)),
        SnapshotCodec.encodePart(snapshotOf(ticket)),
        HostListCodec.encode(list));
  }

  private static SnapshotPart snapshotOf(Ticket ticket) {
    return new SnapshotPart(
        ticket.number(),
        1,
        ticket.changes().stream()
            .map(
                change ->
                    new CatalogueEntry(
                        change.key(), new VersionedItem(new TicketNumber(5), change.item())))
            .toList());
  }

  private static byte[] replaceValue(byte[] document, int position, String value) {
    try {
      JsonNode root = MAPPER.readTree(document);
      JsonNode replacement = MAPPER.readTree(value);
      List<Runnable> replacements = new ArrayList<>();
      collect(root, replacement, replacements);
      replacements.get(Math.floorMod(position, replacements.size())).run();
      return bytes(root.toString());
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static void collect(JsonNode node, JsonNode replacement, List<Runnable> replacements) {
    if (node instanceof ObjectNode object) {
      object
          .properties()
          .forEach(
              field -> {
                replacements.add(() -> object.set(field.getKey(), replacement));
                collect(field.getValue(), replacement, replacements);
              });
    } else if (node instanceof ArrayNode array) {
      for (int index = 0; index < array.size(); index++) {
        int position = index;
        replacements.add(() -> array.set(position, replacement));
        collect(array.get(index), replacement, replacements);
      }
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
