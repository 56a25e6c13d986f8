package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.idempotency.RepeatAnswer;
import org.parsleyhead.core.idempotency.RepeatClaim;
import org.parsleyhead.core.idempotency.RepeatRelease;

/**
 * The message types for the detection of repeated requests, codes 120 to 122.
 *
 * <p>Stateless and thread-safe.
 */
public final class RepeatMessageTypes {

  /** All types of this group. */
  public static final List<MessageType<?>> TYPES =
      List.of(
          new MessageType<>(
              120,
              RepeatClaim.class,
              RepeatMessageTypes::writeClaim,
              RepeatMessageTypes::readClaim),
          new MessageType<>(
              121,
              RepeatAnswer.class,
              RepeatMessageTypes::writeAnswer,
              RepeatMessageTypes::readAnswer),
          new MessageType<>(
              122,
              RepeatRelease.class,
              RepeatMessageTypes::writeRelease,
              RepeatMessageTypes::readRelease));

  private RepeatMessageTypes() {}

  private static void writeClaim(RepeatClaim claim, MessagePacker packer) throws IOException {
    packer.packString(claim.identifier().text());
    packer.packString(claim.repeatKey());
    packer.packLong(claim.version());
  }

  private static RepeatClaim readClaim(MessageUnpacker unpacker) throws IOException {
    return new RepeatClaim(
        new RequestIdentifier(unpacker.unpackString()),
        unpacker.unpackString(),
        unpacker.unpackLong());
  }

  private static void writeAnswer(RepeatAnswer answer, MessagePacker packer) throws IOException {
    packer.packString(answer.identifier().text());
    packer.packLong(answer.version());
    packer.packInt(answer.vote().ordinal());
  }

  private static RepeatAnswer readAnswer(MessageUnpacker unpacker) throws IOException {
    return new RepeatAnswer(
        new RequestIdentifier(unpacker.unpackString()),
        unpacker.unpackLong(),
        vote(unpacker.unpackInt()));
  }

  private static void writeRelease(RepeatRelease release, MessagePacker packer) throws IOException {
    packer.packString(release.identifier().text());
    packer.packString(release.repeatKey());
  }

  private static RepeatRelease readRelease(MessageUnpacker unpacker) throws IOException {
    return new RepeatRelease(
        new RequestIdentifier(unpacker.unpackString()), unpacker.unpackString());
  }

  private static RepeatAnswer.Vote vote(int ordinal) {
    RepeatAnswer.Vote[] votes = RepeatAnswer.Vote.values();
    Preconditions.require(ordinal >= 0 && ordinal < votes.length, "vote", "is unknown");
    return votes[ordinal];
  }
}
