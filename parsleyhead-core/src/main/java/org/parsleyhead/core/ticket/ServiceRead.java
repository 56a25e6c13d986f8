package org.parsleyhead.core.ticket;

import java.time.Duration;
import org.parsleyhead.core.api.TicketNumber;

/** A call to the configuration service. Implementations are immutable and thread-safe. */
public sealed interface ServiceRead {

  /**
   * Waits for a newer number of the last ticket.
   *
   * @param revision the revision that is known, zero for none
   * @param patience how long the service waits before it answers that nothing has changed
   */
  record WatchLatest(long revision, Duration patience) implements ServiceRead {}

  /**
   * Reads the first document of a ticket.
   *
   * @param number the number of the ticket
   */
  record TicketHead(TicketNumber number) implements ServiceRead {}

  /**
   * Reads one part of a ticket that has several.
   *
   * @param number the number of the ticket
   * @param part the number of the part, one or more
   * @param parts how many parts the ticket has
   */
  record TicketPart(TicketNumber number, int part, int parts) implements ServiceRead {}

  /** Reads the number and size of the last snapshot. */
  record SnapshotHead() implements ServiceRead {}

  /**
   * Reads one part of a snapshot.
   *
   * @param number the number of the snapshot
   * @param part the number of the part, one or more
   */
  record SnapshotPart(TicketNumber number, int part) implements ServiceRead {}
}
