package org.parsleyhead.operator.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.operator.OperatorException;

@DisplayName("Published documents")
class DocumentsTests {

  private static final int MAXIMUM_VALUE_BYTES = 1_000;

  private final DocumentWriter writer = new DocumentWriter(MAXIMUM_VALUE_BYTES);
  private final Map<String, String> published = new TreeMap<>();
  private final DocumentReader reader =
      new DocumentReader(
          path ->
              Optional.ofNullable(published.get(path))
                  .map(text -> text.getBytes(StandardCharsets.UTF_8)));

  @Test
  @DisplayName("restore the catalogue with its deletions, from snapshots and from tickets")
  void roundTrip() {
    Catalogue after = publishThree();
    Catalogue fromSnapshot = reader.read();
    assertEquals(after.items(), fromSnapshot.items());
    assertEquals(after.highestTicketNumber(), fromSnapshot.highestTicketNumber());
    published.keySet().removeIf(path -> path.startsWith("snapshot"));
    assertEquals(after.items(), reader.read().items());
  }

  @Test
  @DisplayName("fit in one value each, and refer only to documents published before")
  void order() {
    Ticket ticket = ticket(1, adapters(1, 30, 1));
    List<PublishedDocument> documents =
        writer.ticketAndSnapshot(ticket, Catalogue.empty().merge(ticket));
    documents.forEach(
        document -> assertTrue(document.text().length() <= MAXIMUM_VALUE_BYTES, document.path()));
    List<String> paths = documents.stream().map(PublishedDocument::path).toList();
    assertEquals("tickets/latest", paths.get(paths.size() - 1));
    assertEquals("snapshot/latest", paths.get(paths.size() - 2));
    assertTrue(paths.indexOf("tickets/1") > paths.indexOf("tickets/1/1"));
    assertTrue(paths.contains("tickets/1/2"));
  }

  @Test
  @DisplayName(
      "are rejected when one is missing, has the number of another, or is ahead of the last ticket")
  void inconsistent() {
    publishThree();
    Map<String, String> complete = Map.copyOf(published);
    published.remove("snapshot/3/1");
    assertInconsistent("snapshot/3/1 is missing");
    published.putAll(complete);
    published.put("tickets/latest", "{\"number\":2}");
    assertInconsistent("snapshot/latest is ahead of the last ticket");
    published.putAll(complete);
    published.keySet().removeIf(path -> path.startsWith("snapshot"));
    published.put("tickets/2", published.get("tickets/3"));
    assertInconsistent("tickets/2 has the ticket or part number of another document");
    published.put("tickets/2", "{");
    assertThrows(OperatorException.class, reader::read);
  }

  @Test
  @DisplayName("cannot hold an item that is too large for one value")
  void itemTooLarge() {
    DocumentWriter small = new DocumentWriter(200);
    OperatorException exception =
        assertThrows(OperatorException.class, () -> small.ticket(ticket(1, adapters(1, 1, 1))));
    assertEquals(OperatorException.ITEM_TOO_LARGE, exception.code());
  }

  @Test
  @DisplayName("contain deletions first, then the items that were added or changed")
  void diff() {
    List<Change> changes =
        DeclarationDiff.changes(byKey(adapters(1, 4, 1)), byKey(mixedAdapters()));
    assertEquals(
        List.of("adapter/a1 deleted", "adapter/a3 put", "adapter/a5 put"),
        changes.stream()
            .map(change -> change.key() + (change.item().isPresent() ? " put" : " deleted"))
            .toList());
    assertEquals(
        List.of(
            "- adapter/a1",
            "~ adapter/a3",
            "    versions: [1] -> [9]",
            "+ adapter/a5",
            "    base_model: \"base\"",
            "    client_accounts: [\"floor\"]",
            "    versions: [9]",
            "    weights_path: \"weights/a5\"",
            "created=1 replaced=1 deleted=1"),
        ChangeDescription.lines(byKey(adapters(1, 4, 1)), changes));
  }

  private static List<Item> mixedAdapters() {
    List<Item> items = new ArrayList<>(adapters(2, 2, 1));
    items.addAll(adapters(3, 3, 9));
    items.addAll(adapters(4, 4, 1));
    items.addAll(adapters(5, 5, 9));
    return items;
  }

  /** Publishes three tickets: the second one deletes most items, the third one restores some. */
  private Catalogue publishThree() {
    Catalogue catalogue = Catalogue.empty();
    Map<ItemKey, Item> previous = Map.of();
    List<List<Item>> states = List.of(adapters(1, 20, 1), adapters(1, 5, 1), adapters(3, 9, 2));
    for (int index = 0; index < states.size(); index++) {
      Map<ItemKey, Item> current = byKey(states.get(index));
      Ticket ticket =
          new Ticket(new TicketNumber(index + 1), DeclarationDiff.changes(previous, current));
      catalogue = catalogue.merge(ticket);
      writer
          .ticketAndSnapshot(ticket, catalogue)
          .forEach(document -> published.put(document.path(), document.text()));
      previous = current;
    }
    return catalogue;
  }

  private void assertInconsistent(String message) {
    OperatorException exception = assertThrows(OperatorException.class, reader::read);
    assertEquals(OperatorException.INCONSISTENT_DOCUMENTS, exception.code());
    assertEquals(message, exception.getMessage());
  }

  private static Ticket ticket(long number, List<Item> items) {
    return new Ticket(new TicketNumber(number), items.stream().map(Change::put).toList());
  }

  private static List<Item> adapters(int first, int last, int version) {
    return IntStream.rangeClosed(first, last)
        .<Item>mapToObj(
            index ->
                new AdapterItem(
                    new AdapterName("a" + index),
                    new ModelName("base"),
                    Set.of(version),
                    "weights/a" + index,
                    Set.of(new ClientAccountName("floor"))))
        .toList();
  }

  private static Map<ItemKey, Item> byKey(List<Item> items) {
    return items.stream().collect(Collectors.toMap(Item::key, Function.identity()));
  }
}
