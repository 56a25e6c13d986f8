package org.parsleyhead.entry.configuration;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.parsleyhead.codec.json.SnapshotCodec;
import org.parsleyhead.codec.json.SnapshotHead;
import org.parsleyhead.codec.json.SnapshotPart;
import org.parsleyhead.codec.json.TicketCodec;
import org.parsleyhead.codec.json.TicketHead;
import org.parsleyhead.codec.json.TicketPart;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.ConfigurationEvent;
import org.parsleyhead.core.ticket.ServiceRead;
import org.parsleyhead.core.ticket.TicketFragment;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Executes the reads that the configuration core requests and reports their results as events.
 *
 * <p>Every read produces exactly one event: the value, its absence, or a failure. Retries are left
 * to the core.
 *
 * <p>Thread-safe.
 */
public final class ConfigurationReader {

  private static final EventLog LOG = new EventLog("configuration_reader");

  private final ServiceClient client;
  private final Consumer<ConfigurationEvent> events;

  /**
   * Creates a reader.
   *
   * @param client the client of the configuration service
   * @param events receives the events; runs on the threads of the client and must not block
   */
  public ConfigurationReader(ServiceClient client, Consumer<ConfigurationEvent> events) {
    this.client = client;
    this.events = events;
  }

  /** Starts a read; does not wait for its result. */
  public void read(ServiceRead read) {
    Duration serverWait =
        read instanceof ServiceRead.WatchLatest watch ? watch.timeout() : Duration.ZERO;
    client.get(pathOf(read), serverWait, response -> events.accept(eventOf(read, response)));
  }

  private static String pathOf(ServiceRead read) {
    if (read instanceof ServiceRead.WatchLatest watch) {
      return "/v1/watch/tickets/latest?revision="
          + watch.revision()
          + "&wait_milliseconds="
          + watch.timeout().toMillis();
    }
    if (read instanceof ServiceRead.TicketHead head) {
      return "/v1/values/tickets/" + head.number();
    }
    if (read instanceof ServiceRead.TicketPart part) {
      return "/v1/values/tickets/" + part.number() + "/" + part.part();
    }
    if (read instanceof ServiceRead.SnapshotPart part) {
      return "/v1/values/snapshot/" + part.number() + "/" + part.part();
    }
    return "/v1/values/snapshot/latest";
  }

  private static ConfigurationEvent eventOf(ServiceRead read, ServiceResponse response) {
    if (response.status() == ServiceResponse.NOT_FOUND) {
      return new ConfigurationEvent.ReadAbsent(read);
    }
    if (response.status() == ServiceResponse.NOT_MODIFIED
        && read instanceof ServiceRead.WatchLatest) {
      return new ConfigurationEvent.LatestUnchanged();
    }
    if (response.status() != ServiceResponse.OK) {
      LOG.warning(
          "configuration_read_failed",
          "read",
          pathOf(read),
          "status",
          response.status(),
          "reason",
          response.failure().map(Throwable::toString).orElse("unexpected status"));
      return new ConfigurationEvent.ReadFailed(read);
    }
    try {
      return decode(read, response);
    } catch (ParsleyheadException exception) {
      LOG.warning(
          "configuration_value_refused",
          "read",
          pathOf(read),
          "code",
          exception.code(),
          "reason",
          exception.getMessage());
      return new ConfigurationEvent.ReadFailed(read);
    }
  }

  private static ConfigurationEvent decode(ServiceRead read, ServiceResponse response) {
    byte[] body = response.body();
    if (read instanceof ServiceRead.WatchLatest) {
      return new ConfigurationEvent.LatestRead(TicketCodec.decodeLatest(body), response.revision());
    }
    if (read instanceof ServiceRead.TicketHead head) {
      return ticketHead(head.number(), TicketCodec.decodeHead(body));
    }
    if (read instanceof ServiceRead.TicketPart part) {
      TicketPart value = TicketCodec.decodePart(body);
      requireSame(part.number(), value.number());
      requireSame(part.part(), value.part());
      return new ConfigurationEvent.FragmentRead(
          new TicketFragment(part.number(), part.part(), part.parts(), value.changes()));
    }
    if (read instanceof ServiceRead.SnapshotPart part) {
      SnapshotPart value = SnapshotCodec.decodePart(body);
      requireSame(part.number(), value.number());
      requireSame(part.part(), value.part());
      return new ConfigurationEvent.SnapshotPartRead(value.number(), value.part(), value.items());
    }
    SnapshotHead head = SnapshotCodec.decodeHead(body);
    return new ConfigurationEvent.SnapshotHeadRead(head.number(), head.parts());
  }

  private static ConfigurationEvent ticketHead(TicketNumber number, TicketHead head) {
    requireSame(number, head.number());
    if (head.parts() == 1) {
      return new ConfigurationEvent.FragmentRead(new TicketFragment(number, 1, 1, head.changes()));
    }
    requireSame(List.of(), head.changes());
    return new ConfigurationEvent.TicketSplit(number, head.parts());
  }

  private static void requireSame(Object requested, Object read) {
    if (!requested.equals(read)) {
      throw new ConfigurationReaderException(
          ConfigurationReaderException.RESPONSE_MISMATCH,
          "requested " + requested + ", received " + read);
    }
  }
}
