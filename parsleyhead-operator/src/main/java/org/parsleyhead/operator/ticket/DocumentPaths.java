package org.parsleyhead.operator.ticket;

import org.parsleyhead.core.api.TicketNumber;

/** The paths of published documents. Stateless and thread-safe. */
final class DocumentPaths {

  static final String LATEST_TICKET = "tickets/latest";
  static final String LATEST_SNAPSHOT = "snapshot/latest";

  private DocumentPaths() {}

  static String ticket(TicketNumber number) {
    return "tickets/" + number;
  }

  static String ticketPart(TicketNumber number, int part) {
    return "tickets/" + number + "/" + part;
  }

  static String snapshotPart(TicketNumber number, int part) {
    return "snapshot/" + number + "/" + part;
  }
}
