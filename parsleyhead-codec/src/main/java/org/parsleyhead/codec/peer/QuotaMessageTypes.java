package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.quota.AllocationView;
import org.parsleyhead.core.quota.LoanGrant;
import org.parsleyhead.core.quota.LoanIdentifier;
import org.parsleyhead.core.quota.LoanRequest;
import org.parsleyhead.core.quota.LoanReturn;
import org.parsleyhead.core.quota.QuotaNotice;
import org.parsleyhead.core.quota.ShareAllocation;

/**
 * The message types for quota shares and loans, codes 60 to 63.
 *
 * <p>Stateless and thread-safe. Durations are whole milliseconds, rounded down.
 */
public final class QuotaMessageTypes {

  /** All types of this group. */
  public static final List<MessageType<?>> TYPES =
      List.of(
          new MessageType<>(
              60, QuotaNotice.class, QuotaMessageTypes::writeNotice, QuotaMessageTypes::readNotice),
          new MessageType<>(
              61,
              LoanRequest.class,
              QuotaMessageTypes::writeRequest,
              QuotaMessageTypes::readRequest),
          new MessageType<>(
              62, LoanGrant.class, QuotaMessageTypes::writeGrant, QuotaMessageTypes::readGrant),
          new MessageType<>(
              63, LoanReturn.class, QuotaMessageTypes::writeReturn, QuotaMessageTypes::readReturn));

  /** The maximum number of allocations in a notice. */
  private static final int MAXIMUM_ALLOCATIONS = 64;

  /** The maximum number of members in an allocation. */
  private static final int MAXIMUM_MEMBERS = 256;

  private QuotaMessageTypes() {}

  private static void writeNotice(QuotaNotice message, MessagePacker packer) throws IOException {
    packer.packLong(message.round());
    packer.packBoolean(message.acknowledged().isPresent());
    if (message.acknowledged().isPresent()) {
      packer.packLong(message.acknowledged().get().incarnation().value());
      packer.packLong(message.acknowledged().get().round());
    }
    packer.packLong(message.listVersion());
    packer.packBoolean(message.joined());
    packer.packBoolean(message.allocations().installed().isPresent());
    List<ShareAllocation> allocations = message.allocations().all();
    packer.packArrayHeader(allocations.size());
    for (ShareAllocation allocation : allocations) {
      writeAllocation(allocation, packer);
    }
  }

  private static QuotaNotice readNotice(MessageUnpacker unpacker) throws IOException {
    long round = unpacker.unpackLong();
    Optional<QuotaNotice.NoticeIdentifier> acknowledged =
        unpacker.unpackBoolean()
            ? Optional.of(
                new QuotaNotice.NoticeIdentifier(
                    new Incarnation(unpacker.unpackLong()), unpacker.unpackLong()))
            : Optional.empty();
    long listVersion = unpacker.unpackLong();
    boolean joined = unpacker.unpackBoolean();
    boolean hasInstalled = unpacker.unpackBoolean();
    int count = readCount(unpacker, MAXIMUM_ALLOCATIONS);
    Preconditions.require(
        !hasInstalled || count > 0, "allocations", "must contain the installed allocation");
    List<ShareAllocation> allocations = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      allocations.add(readAllocation(unpacker));
    }
    Optional<ShareAllocation> installed =
        hasInstalled ? Optional.of(allocations.remove(0)) : Optional.empty();
    return new QuotaNotice(
        round, acknowledged, listVersion, joined, new AllocationView(installed, allocations));
  }

  private static void writeAllocation(ShareAllocation allocation, MessagePacker packer)
      throws IOException {
    packer.packLong(allocation.version());
    packer.packArrayHeader(allocation.members().size());
    for (HostName member : allocation.members()) {
      packer.packString(member.text());
    }
  }

  private static ShareAllocation readAllocation(MessageUnpacker unpacker) throws IOException {
    long version = unpacker.unpackLong();
    int count = readCount(unpacker, MAXIMUM_MEMBERS);
    SortedSet<HostName> members = new TreeSet<>();
    for (int index = 0; index < count; index++) {
      members.add(new HostName(unpacker.unpackString()));
    }
    return new ShareAllocation(version, members);
  }

  private static int readCount(MessageUnpacker unpacker, int maximum) throws IOException {
    int count = unpacker.unpackArrayHeader();
    Preconditions.require(count <= maximum, "count", "must be at most " + maximum);
    return count;
  }

  private static void writeRequest(LoanRequest message, MessagePacker packer) throws IOException {
    packer.packLong(message.number());
    packer.packString(message.account().text());
    packer.packLong(message.parts());
    packer.packLong(message.microtokens());
    packer.packLong(message.spareCapacity());
    packer.packBoolean(message.renewedLoan().isPresent());
    if (message.renewedLoan().isPresent()) {
      writeLoan(message.renewedLoan().get(), packer);
    }
  }

  private static LoanRequest readRequest(MessageUnpacker unpacker) throws IOException {
    return new LoanRequest(
        unpacker.unpackLong(),
        new ClientAccountName(unpacker.unpackString()),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackBoolean() ? Optional.of(readLoan(unpacker)) : Optional.empty());
  }

  private static void writeGrant(LoanGrant message, MessagePacker packer) throws IOException {
    packer.packLong(message.requestNumber());
    packer.packLong(message.borrower().value());
    packer.packString(message.account().text());
    writeLoan(message.loan(), packer);
    packer.packLong(message.parts());
    packer.packLong(message.microtokens());
    packer.packLong(message.duration().toMillis());
  }

  private static LoanGrant readGrant(MessageUnpacker unpacker) throws IOException {
    return new LoanGrant(
        unpacker.unpackLong(),
        new Incarnation(unpacker.unpackLong()),
        new ClientAccountName(unpacker.unpackString()),
        readLoan(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        Duration.ofMillis(unpacker.unpackLong()));
  }

  private static void writeReturn(LoanReturn message, MessagePacker packer) throws IOException {
    packer.packString(message.account().text());
    writeLoan(message.loan(), packer);
    packer.packLong(message.microtokens());
  }

  private static LoanReturn readReturn(MessageUnpacker unpacker) throws IOException {
    return new LoanReturn(
        new ClientAccountName(unpacker.unpackString()), readLoan(unpacker), unpacker.unpackLong());
  }

  private static void writeLoan(LoanIdentifier loan, MessagePacker packer) throws IOException {
    packer.packLong(loan.lender().value());
    packer.packLong(loan.number());
  }

  private static LoanIdentifier readLoan(MessageUnpacker unpacker) throws IOException {
    return new LoanIdentifier(new Incarnation(unpacker.unpackLong()), unpacker.unpackLong());
  }
}
