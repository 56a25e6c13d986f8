package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.membership.Attestation;
import org.parsleyhead.core.membership.AttestationRequest;
import org.parsleyhead.core.membership.DepartureNotice;
import org.parsleyhead.core.membership.Liveness;
import org.parsleyhead.core.membership.LivenessUpdate;
import org.parsleyhead.core.membership.Probe;
import org.parsleyhead.core.membership.ProbeAnswer;
import org.parsleyhead.core.membership.ProbeRelay;

/**
 * The message types for membership, codes 1 to 29.
 *
 * <p>Stateless and thread-safe.
 */
public final class MembershipMessageTypes {

  /** All types of this group. */
  public static final List<MessageType<?>> TYPES =
      List.of(
          new MessageType<>(
              1,
              AttestationRequest.class,
              (message, packer) -> packer.packLong(message.nonce()).packLong(message.listVersion()),
              unpacker -> new AttestationRequest(unpacker.unpackLong(), unpacker.unpackLong())),
          new MessageType<>(
              2,
              Attestation.class,
              MembershipMessageTypes::writeAttestation,
              MembershipMessageTypes::readAttestation),
          new MessageType<>(
              3,
              Probe.class,
              (message, packer) -> writeProbe(message.nonce(), message.updates(), packer),
              unpacker -> new Probe(unpacker.unpackLong(), readUpdates(unpacker))),
          new MessageType<>(
              4,
              ProbeAnswer.class,
              (message, packer) -> writeProbe(message.nonce(), message.updates(), packer),
              unpacker -> new ProbeAnswer(unpacker.unpackLong(), readUpdates(unpacker))),
          new MessageType<>(
              5,
              ProbeRelay.class,
              (message, packer) ->
                  packer.packLong(message.nonce()).packString(message.target().text()),
              unpacker ->
                  new ProbeRelay(unpacker.unpackLong(), new HostName(unpacker.unpackString()))),
          new MessageType<>(
              6,
              DepartureNotice.class,
              (message, packer) -> {},
              unpacker -> new DepartureNotice()));

  private static final List<Liveness> LIVENESS = List.of(Liveness.values());

  private MembershipMessageTypes() {}

  private static void writeAttestation(Attestation message, MessagePacker packer)
      throws IOException {
    packer
        .packLong(message.nonce())
        .packLong(message.incarnation().value())
        .packLong(message.listVersion())
        .packLong(message.duration().toMillis());
  }

  private static Attestation readAttestation(MessageUnpacker unpacker) throws IOException {
    return new Attestation(
        unpacker.unpackLong(),
        new Incarnation(unpacker.unpackLong()),
        unpacker.unpackLong(),
        Duration.ofMillis(unpacker.unpackLong()));
  }

  private static void writeProbe(long nonce, List<LivenessUpdate> updates, MessagePacker packer)
      throws IOException {
    packer.packLong(nonce).packArrayHeader(updates.size());
    for (LivenessUpdate update : updates) {
      packer
          .packString(update.host().text())
          .packLong(update.refutationNumber())
          .packInt(update.liveness().ordinal());
    }
  }

  private static List<LivenessUpdate> readUpdates(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<LivenessUpdate> updates = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      updates.add(
          new LivenessUpdate(
              new HostName(unpacker.unpackString()),
              unpacker.unpackLong(),
              OrdinalDecoder.read(LIVENESS, unpacker)));
    }
    return updates;
  }
}
