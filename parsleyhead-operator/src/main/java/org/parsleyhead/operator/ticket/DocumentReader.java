package org.parsleyhead.operator.ticket;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.codec.json.SnapshotCodec;
import org.parsleyhead.codec.json.SnapshotHead;
import org.parsleyhead.codec.json.SnapshotPart;
import org.parsleyhead.codec.json.TicketCodec;
import org.parsleyhead.codec.json.TicketHead;
import org.parsleyhead.codec.json.TicketPart;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.CatalogueEntry;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.operator.OperatorException;

/**
 * Reads published documents: the last snapshot, if there is one, and all later tickets.
 *
 * <p>Immutable; as thread-safe as the source.
 */
public final class DocumentReader {

  private final DocumentSource source;

  /** Creates a reader of documents from a source. */
  public DocumentReader(DocumentSource source) {
    this.source = source;
  }

  /**
   * Returns the catalogue after the last published ticket.
   *
   * @throws OperatorException if a document is missing or malformed, or has the number of another
   *     document
   */
  public Catalogue read() {
    try {
      TicketNumber latest = TicketCodec.decodeLatest(readRequired(DocumentPaths.LATEST_TICKET));
      Catalogue catalogue = readSnapshot(latest);
      for (long value = catalogue.highestTicketNumber().value() + 1;
          value <= latest.value();
          value++) {
        catalogue = catalogue.merge(readTicket(new TicketNumber(value)));
      }
      return catalogue;
    } catch (CodecException exception) {
      throw new OperatorException(
          OperatorException.INCONSISTENT_DOCUMENTS, exception.getMessage(), exception);
    }
  }

  private Catalogue readSnapshot(TicketNumber latest) {
    Catalogue catalogue = Catalogue.empty();
    if (source.read(DocumentPaths.LATEST_SNAPSHOT).isEmpty()) {
      return catalogue;
    }
    SnapshotHead head = SnapshotCodec.decodeHead(readRequired(DocumentPaths.LATEST_SNAPSHOT));
    if (head.number().supersedes(latest)) {
      throw inconsistent(DocumentPaths.LATEST_SNAPSHOT + " is ahead of the last ticket");
    }
    for (int part = 1; part <= head.parts(); part++) {
      String path = DocumentPaths.snapshotPart(head.number(), part);
      SnapshotPart read = SnapshotCodec.decodePart(readRequired(path));
      requireNumbers(path, head.number(), part, read.number(), read.part());
      for (CatalogueEntry item : read.items()) {
        catalogue = catalogue.merge(item.key(), item.versioned());
      }
    }
    return catalogue.merge(new Ticket(head.number(), List.of()));
  }

  private Ticket readTicket(TicketNumber number) {
    String path = DocumentPaths.ticket(number);
    TicketHead head = TicketCodec.decodeHead(readRequired(path));
    requireNumbers(path, number, 1, head.number(), 1);
    if (head.parts() == 1) {
      return new Ticket(number, head.changes());
    }
    List<Change> changes = new ArrayList<>();
    for (int part = 1; part <= head.parts(); part++) {
      String partPath = DocumentPaths.ticketPart(number, part);
      TicketPart read = TicketCodec.decodePart(readRequired(partPath));
      requireNumbers(partPath, number, part, read.number(), read.part());
      changes.addAll(read.changes());
    }
    return new Ticket(number, changes);
  }

  private byte[] readRequired(String path) {
    return source.read(path).orElseThrow(() -> inconsistent(path + " is missing"));
  }

  private static void requireNumbers(
      String path, TicketNumber number, int part, TicketNumber foundNumber, int foundPart) {
    if (!number.equals(foundNumber) || part != foundPart) {
      throw inconsistent(path + " has the ticket or part number of another document");
    }
  }

  private static OperatorException inconsistent(String text) {
    return new OperatorException(OperatorException.INCONSISTENT_DOCUMENTS, text);
  }
}
