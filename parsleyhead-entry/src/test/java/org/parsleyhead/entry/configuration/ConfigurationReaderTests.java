package org.parsleyhead.entry.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.codec.json.SnapshotCodec;
import org.parsleyhead.codec.json.SnapshotHead;
import org.parsleyhead.codec.json.SnapshotPart;
import org.parsleyhead.codec.json.TicketCodec;
import org.parsleyhead.codec.json.TicketHead;
import org.parsleyhead.codec.json.TicketPart;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.CatalogueEntry;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.ConfigurationEvent;
import org.parsleyhead.core.ticket.ServiceRead;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.core.ticket.TicketFragment;
import org.parsleyhead.core.ticket.VersionedItem;

@DisplayName("The reader of the configuration service")
class ConfigurationReaderTests {

  private static final TicketNumber NUMBER = new TicketNumber(7);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMinutes(1);
  private static final Duration WATCH_TIMEOUT = Duration.ofMillis(300);
  private static final ServiceRead WATCH = new ServiceRead.WatchLatest(4, WATCH_TIMEOUT);
  private static final String WATCH_PATH =
      "/v1/watch/tickets/latest?revision=4&wait_milliseconds=300";
  private static final ServiceRead LONG_WATCH =
      new ServiceRead.WatchLatest(4, Duration.ofMinutes(1));
  private static final String LONG_WATCH_PATH =
      "/v1/watch/tickets/latest?revision=4&wait_milliseconds=60000";
  private static final ClientAccountItem ITEM =
      new ClientAccountItem(new ClientAccountName("depot"), 5, 6);
  private static final List<Change> CHANGES = List.of(Change.put(ITEM));

  private final BlockingQueue<ConfigurationEvent> events = new LinkedBlockingQueue<>();
  private FakeService service;
  private ServiceClient client;
  private ConfigurationReader reader;

  @BeforeEach
  void start() throws IOException {
    service = new FakeService();
    client = ServiceClient.create(service.uri(), RESPONSE_TIMEOUT);
    reader = new ConfigurationReader(client, events::add);
  }

  @AfterEach
  void stop() {
    client.close();
    service.close();
  }

  private ConfigurationEvent read(ServiceRead read) throws InterruptedException {
    reader.read(read);
    return events.poll(60, TimeUnit.SECONDS);
  }

  @Test
  @DisplayName("reports a newer ticket number with its revision, and an unchanged one")
  void watches() throws InterruptedException {
    service.respond(WATCH_PATH, 200, 9, TicketCodec.encodeLatest(NUMBER));
    assertEquals(new ConfigurationEvent.LatestRead(NUMBER, 9), read(WATCH));
    service.respond(WATCH_PATH, 304, 0, new byte[0]);
    assertEquals(new ConfigurationEvent.LatestUnchanged(), read(WATCH));
  }

  @Test
  @DisplayName("reads tickets of one and of several parts")
  void readsTickets() throws InterruptedException {
    Ticket ticket = new Ticket(NUMBER, CHANGES);
    service.respond("/v1/values/tickets/7", 200, 1, TicketCodec.encodeWhole(ticket));
    ServiceRead head = new ServiceRead.TicketHead(NUMBER);
    assertEquals(new ConfigurationEvent.FragmentRead(TicketFragment.whole(ticket)), read(head));
    byte[] split = TicketCodec.encodeHead(new TicketHead(NUMBER, 3, List.of()));
    service.respond("/v1/values/tickets/7", 200, 1, split);
    assertEquals(new ConfigurationEvent.TicketSplit(NUMBER, 3), read(head));
    byte[] part = TicketCodec.encodePart(new TicketPart(NUMBER, 2, CHANGES));
    service.respond("/v1/values/tickets/7/2", 200, 1, part);
    assertEquals(
        new ConfigurationEvent.FragmentRead(new TicketFragment(NUMBER, 2, 3, CHANGES)),
        read(new ServiceRead.TicketPart(NUMBER, 2, 3)));
  }

  @Test
  @DisplayName("reads snapshots")
  void readsSnapshots() throws InterruptedException {
    byte[] head = SnapshotCodec.encodeHead(new SnapshotHead(NUMBER, 2));
    service.respond("/v1/values/snapshot/latest", 200, 1, head);
    assertEquals(
        new ConfigurationEvent.SnapshotHeadRead(NUMBER, 2), read(new ServiceRead.SnapshotHead()));
    List<CatalogueEntry> items =
        List.of(new CatalogueEntry(ITEM.key(), new VersionedItem(NUMBER, Optional.of(ITEM))));
    byte[] part = SnapshotCodec.encodePart(new SnapshotPart(NUMBER, 1, items));
    service.respond("/v1/values/snapshot/7/1", 200, 1, part);
    assertEquals(
        new ConfigurationEvent.SnapshotPartRead(NUMBER, 1, items),
        read(new ServiceRead.SnapshotPart(NUMBER, 1)));
  }

  @Test
  @DisplayName("distinguishes an absent value from a failed read")
  void distinguishesAbsence() throws InterruptedException {
    ServiceRead head = new ServiceRead.TicketHead(NUMBER);
    assertEquals(new ConfigurationEvent.ReadAbsent(head), read(head));
    service.respond("/v1/values/tickets/7", 500, 0, new byte[0]);
    assertEquals(new ConfigurationEvent.ReadFailed(head), read(head));
  }

  @Test
  @DisplayName("rejects values that are malformed, oversized or of another ticket")
  void rejectsInvalid() throws InterruptedException {
    ServiceRead head = new ServiceRead.TicketHead(NUMBER);
    Ticket other = new Ticket(new TicketNumber(8), CHANGES);
    for (byte[] body :
        List.of(
            "{".getBytes(StandardCharsets.UTF_8),
            new byte[ServiceClient.MAXIMUM_RESPONSE_BYTES + 1],
            TicketCodec.encodeWhole(other))) {
      service.respond("/v1/values/tickets/7", 200, 1, body);
      assertEquals(new ConfigurationEvent.ReadFailed(head), read(head));
    }
  }

  @Test
  @DisplayName(
      "reports a failure when the service does not respond, and reads again on a new connection")
  void timesOut() throws InterruptedException {
    service.respond(WATCH_PATH, 0, 0, new byte[0]);
    try (ServiceClient timingOut = ServiceClient.create(service.uri(), WATCH_TIMEOUT)) {
      new ConfigurationReader(timingOut, events::add).read(WATCH);
      assertEquals(new ConfigurationEvent.ReadFailed(WATCH), events.poll(20, TimeUnit.SECONDS));
      service.respond(LONG_WATCH_PATH, 200, 9, TicketCodec.encodeLatest(NUMBER));
      new ConfigurationReader(timingOut, events::add).read(LONG_WATCH);
      assertEquals(new ConfigurationEvent.LatestRead(NUMBER, 9), events.poll(60, TimeUnit.SECONDS));
    }
  }

  @Test
  @DisplayName("reports a failure when there is no service")
  void reportsRefusedConnection() throws InterruptedException {
    service.close();
    assertEquals(new ConfigurationEvent.ReadFailed(WATCH), read(WATCH));
  }
}
