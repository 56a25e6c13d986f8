package org.parsleyhead.operator.ticket;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
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

/**
 * Creates the documents of a ticket in the order in which they must be published.
 *
 * <p>Immutable and thread-safe, without input or output. A document only refers to documents before
 * it, and {@code tickets/latest} is the last one, so a reader never sees a partly published ticket.
 */
public final class DocumentWriter {

  /**
   * Maximum size of a document, in bytes; the configuration service accepts values of up to 1 MB.
   */
  public static final int MAXIMUM_VALUE_BYTES = 1_000_000;

  private final PartSplitter splitter;

  /** Creates a writer of documents up to a size in bytes. */
  public DocumentWriter(int maximumValueBytes) {
    this.splitter = new PartSplitter(maximumValueBytes);
  }

  /** Returns the documents of a ticket. */
  public List<PublishedDocument> ticket(Ticket ticket) {
    List<PublishedDocument> documents = new ArrayList<>(ticketBody(ticket));
    documents.add(latest(ticket.number()));
    return List.copyOf(documents);
  }

  /** Returns the documents of a ticket and of the snapshot that includes it. */
  public List<PublishedDocument> ticketAndSnapshot(Ticket ticket, Catalogue after) {
    List<PublishedDocument> documents = new ArrayList<>(ticketBody(ticket));
    documents.addAll(snapshot(ticket.number(), after));
    documents.add(latest(ticket.number()));
    return List.copyOf(documents);
  }

  private List<PublishedDocument> ticketBody(Ticket ticket) {
    TicketNumber number = ticket.number();
    List<List<Change>> parts = splitter.split(ticket.changes(), DocumentWriter::size);
    if (parts.size() == 1) {
      return List.of(document(DocumentPaths.ticket(number), TicketCodec.encodeWhole(ticket)));
    }
    List<PublishedDocument> documents = new ArrayList<>();
    for (int part = 1; part <= parts.size(); part++) {
      byte[] value = TicketCodec.encodePart(new TicketPart(number, part, parts.get(part - 1)));
      documents.add(document(DocumentPaths.ticketPart(number, part), value));
    }
    TicketHead head = new TicketHead(number, parts.size(), List.of());
    documents.add(document(DocumentPaths.ticket(number), TicketCodec.encodeHead(head)));
    return documents;
  }

  private List<PublishedDocument> snapshot(TicketNumber number, Catalogue catalogue) {
    List<CatalogueEntry> items = new ArrayList<>();
    new TreeMap<>(catalogue.items())
        .forEach((key, versioned) -> items.add(new CatalogueEntry(key, versioned)));
    List<PublishedDocument> documents = new ArrayList<>();
    List<SnapshotPart> parts = SnapshotCodec.split(number, items, splitter.maximumBytes());
    for (SnapshotPart part : parts) {
      String path = DocumentPaths.snapshotPart(number, part.part());
      documents.add(document(path, SnapshotCodec.encodePart(part)));
    }
    byte[] head = SnapshotCodec.encodeHead(new SnapshotHead(number, parts.size()));
    documents.add(document(DocumentPaths.LATEST_SNAPSHOT, head));
    return documents;
  }

  private static PublishedDocument latest(TicketNumber number) {
    return document(DocumentPaths.LATEST_TICKET, TicketCodec.encodeLatest(number));
  }

  private static int size(Change change) {
    return TicketCodec.encodePart(new TicketPart(TicketNumber.NONE, 1, List.of(change))).length;
  }

  private static PublishedDocument document(String path, byte[] value) {
    return new PublishedDocument(path, new String(value, StandardCharsets.UTF_8));
  }
}
