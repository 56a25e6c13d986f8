package org.parsleyhead.codec.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.CatalogueEntry;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.ConfigurationSummary;
import org.parsleyhead.core.ticket.DigestComparison;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemTransfer;
import org.parsleyhead.core.ticket.KeyItem;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.RouteItem;
import org.parsleyhead.core.ticket.TicketFragment;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.parsleyhead.core.ticket.VersionedItem;

@DisplayName("The ticket message types")
class TicketMessageTypesTests {

  private static final PeerMessageCodec CODEC = new PeerMessageCodec(TicketMessageTypes.TYPES);
  private static final Sender SENDER = new Sender(new HostName("host-1"), new Incarnation(3));
  private static final ClientAccountName ACCOUNT = new ClientAccountName("depot");
  private static final List<Item> ITEMS =
      List.of(
          new ClientAccountItem(ACCOUNT, 100, 1_000),
          new KeyItem("ab".repeat(32), ACCOUNT),
          new AdapterItem(
              new AdapterName("floor"), new ModelName("base"), Set.of(1, 2), "w", Set.of(ACCOUNT)),
          new RouteItem(
              new RouteName("stock"),
              "/stock",
              RouteItem.Access.RESTRICTED,
              Set.of(ACCOUNT),
              true,
              Priority.BATCH,
              Duration.ofSeconds(3),
              Set.of(new UpstreamName("service-1"))),
          upstream(Optional.empty()),
          upstream(Optional.of(new UpstreamItem.Engine(new ModelName("base"), 4, 32, true))));

  private static UpstreamItem upstream(Optional<UpstreamItem.Engine> engine) {
    return new UpstreamItem(
        new UpstreamName("upstream-1"),
        new Endpoint("127.0.0.1", 9),
        new FailureDomainName("domain"),
        engine,
        true,
        false);
  }

  static Stream<PeerMessage> messages() {
    TicketNumber number = new TicketNumber(9);
    List<Change> changes = ITEMS.stream().map(Change::put).toList();
    List<CatalogueEntry> items =
        Stream.concat(changes.stream(), Stream.of(Change.delete(ITEMS.get(0).key())))
            .map(
                change ->
                    new CatalogueEntry(change.key(), new VersionedItem(number, change.item())))
            .toList();
    return Stream.of(
        new TicketFragment(number, 2, 3, changes),
        new ConfigurationSummary(8, 9, -5, Duration.ofSeconds(4), true, false),
        new DigestComparison(4, Collections.nCopies(256, Long.MIN_VALUE), true),
        new ItemTransfer(4, -7, 1, 2, 8, items));
  }

  @ParameterizedTest
  @MethodSource("messages")
  @DisplayName("decode encoded messages to equal messages")
  void roundTrip(PeerMessage message) {
    Envelope envelope = new Envelope(SENDER, message);
    assertEquals(envelope, CODEC.decode(CODEC.encode(envelope)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  @DisplayName("reject truncated messages")
  void rejectsTruncatedMessages(PeerMessage message) {
    byte[] bytes = CODEC.encode(new Envelope(SENDER, message));
    for (int length = 0; length < bytes.length; length++) {
      byte[] truncated = Arrays.copyOf(bytes, length);
      assertThrows(CodecException.class, () -> CODEC.decode(truncated));
    }
  }
}
