package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.CatalogueEntry;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ConfigurationSummary;
import org.parsleyhead.core.ticket.DigestComparison;
import org.parsleyhead.core.ticket.ItemTransfer;
import org.parsleyhead.core.ticket.TicketFragment;
import org.parsleyhead.core.ticket.VersionedItem;

/**
 * The message types for the distribution of configuration, codes 30 to 59.
 *
 * <p>Stateless and thread-safe.
 */
public final class TicketMessageTypes {

  /** All types of this group. */
  public static final List<MessageType<?>> TYPES =
      List.of(
          new MessageType<>(
              30,
              TicketFragment.class,
              TicketMessageTypes::writeFragment,
              TicketMessageTypes::readFragment),
          new MessageType<>(
              31,
              ConfigurationSummary.class,
              TicketMessageTypes::writeSummary,
              TicketMessageTypes::readSummary),
          new MessageType<>(
              32,
              DigestComparison.class,
              TicketMessageTypes::writeComparison,
              TicketMessageTypes::readComparison),
          new MessageType<>(
              33,
              ItemTransfer.class,
              TicketMessageTypes::writeTransfer,
              TicketMessageTypes::readTransfer));

  private TicketMessageTypes() {}

  private static void writeFragment(TicketFragment fragment, MessagePacker packer)
      throws IOException {
    packer
        .packLong(fragment.number().value())
        .packInt(fragment.part())
        .packInt(fragment.parts())
        .packArrayHeader(fragment.changes().size());
    for (Change change : fragment.changes()) {
      ItemEncoding.write(change.key(), change.item(), packer);
    }
  }

  private static TicketFragment readFragment(MessageUnpacker unpacker) throws IOException {
    TicketNumber number = new TicketNumber(unpacker.unpackLong());
    int part = unpacker.unpackInt();
    int parts = unpacker.unpackInt();
    List<Change> changes = new ArrayList<>();
    int size = unpacker.unpackArrayHeader();
    for (int index = 0; index < size; index++) {
      changes.add(ItemEncoding.read(unpacker));
    }
    return new TicketFragment(number, part, parts, changes);
  }

  private static void writeSummary(ConfigurationSummary summary, MessagePacker packer)
      throws IOException {
    packer
        .packLong(summary.mergedThrough())
        .packLong(summary.highest())
        .packLong(summary.digest())
        .packLong(summary.contactAge().toMillis())
        .packBoolean(summary.ready())
        .packBoolean(summary.replyRequested());
  }

  private static ConfigurationSummary readSummary(MessageUnpacker unpacker) throws IOException {
    return new ConfigurationSummary(
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        Duration.ofMillis(unpacker.unpackLong()),
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean());
  }

  private static void writeComparison(DigestComparison comparison, MessagePacker packer)
      throws IOException {
    packer
        .packLong(comparison.identifier())
        .packBoolean(comparison.replyRequested())
        .packArrayHeader(comparison.bucketDigests().size());
    for (long digest : comparison.bucketDigests()) {
      packer.packLong(digest);
    }
  }

  private static DigestComparison readComparison(MessageUnpacker unpacker) throws IOException {
    long identifier = unpacker.unpackLong();
    boolean replyRequested = unpacker.unpackBoolean();
    List<Long> digests = new ArrayList<>();
    int size = unpacker.unpackArrayHeader();
    for (int index = 0; index < size; index++) {
      digests.add(unpacker.unpackLong());
    }
    return new DigestComparison(identifier, digests, replyRequested);
  }

  private static void writeTransfer(ItemTransfer transfer, MessagePacker packer)
      throws IOException {
    packer
        .packLong(transfer.comparison())
        .packLong(transfer.identifier())
        .packInt(transfer.part())
        .packInt(transfer.parts())
        .packLong(transfer.mergedThrough())
        .packArrayHeader(transfer.items().size());
    for (CatalogueEntry item : transfer.items()) {
      packer.packLong(item.versioned().number().value());
      ItemEncoding.write(item.key(), item.versioned().item(), packer);
    }
  }

  private static ItemTransfer readTransfer(MessageUnpacker unpacker) throws IOException {
    long comparison = unpacker.unpackLong();
    long identifier = unpacker.unpackLong();
    int part = unpacker.unpackInt();
    int parts = unpacker.unpackInt();
    long mergedThrough = unpacker.unpackLong();
    List<CatalogueEntry> items = new ArrayList<>();
    int size = unpacker.unpackArrayHeader();
    for (int index = 0; index < size; index++) {
      TicketNumber number = new TicketNumber(unpacker.unpackLong());
      Change change = ItemEncoding.read(unpacker);
      items.add(new CatalogueEntry(change.key(), new VersionedItem(number, change.item())));
    }
    return new ItemTransfer(comparison, identifier, part, parts, mergedThrough, items);
  }
}
