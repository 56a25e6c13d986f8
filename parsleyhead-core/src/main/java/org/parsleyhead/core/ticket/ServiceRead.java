package org.parsleyhead.core.ticket;

import java.time.Duration;
import org.parsleyhead.core.api.TicketNumber;

/** A read from the configuration service. Implementations are immutable and thread-safe. */
public sealed interface ServiceRead {

  /**
   * Reads the number of the latest ticket; waits in the service for a revision newer than the known
   * one.
   *
   * @param revision the known revision; zero if none is known
   * @param timeout the time after which the service answers that nothing has changed
   */
  record WatchLatest(long revision, Duration timeout) implements ServiceRead {}

  /**
   * Reads the first document of a ticket.
   *
   * @param number the number of the ticket
   */
  record TicketHead(TicketNumber number) implements ServiceRead {}

  /**
   * Reads one part of a ticket that has several parts.
   *
   * @param number the number of the ticket
   * @param part the number of the part, starting at 1
   * @param parts the number of parts of the ticket
   */
  record TicketPart(TicketNumber number, int part, int parts) implements ServiceRead {}

  /** Reads the number and the part count of the latest snapshot. */
  record SnapshotHead() implements ServiceRead {}

  /**
   * Reads one part of a snapshot.
   *
   * @param number the number of the snapshot
   * @param part the number of the part, starting at 1
   */
  record SnapshotPart(TicketNumber number, int part) implements ServiceRead {}
}
