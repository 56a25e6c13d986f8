package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.engine.EngineHint;
import org.parsleyhead.core.engine.PermitGrant;
import org.parsleyhead.core.engine.PermitRequest;
import org.parsleyhead.core.engine.PermitReturn;
import org.parsleyhead.core.engine.PinDemand;
import org.parsleyhead.core.engine.PinGrant;
import org.parsleyhead.core.engine.PinRecall;
import org.parsleyhead.core.engine.PinRefusal;
import org.parsleyhead.core.engine.PinRelease;
import org.parsleyhead.core.engine.PinRequest;
import org.parsleyhead.core.ticket.Priority;

/**
 * The message types for pins, permits and engine hints, codes 90 to 119.
 *
 * <p>Stateless and thread-safe. Durations are whole milliseconds, rounded down.
 */
public final class EngineMessageTypes {

  /** All types of this group. */
  public static final List<MessageType<?>> TYPES =
      List.of(
          new MessageType<>(
              90,
              PinRequest.class,
              EngineMessageTypes::writePinRequest,
              EngineMessageTypes::readPinRequest),
          new MessageType<>(
              91,
              PinGrant.class,
              EngineMessageTypes::writePinGrant,
              EngineMessageTypes::readPinGrant),
          new MessageType<>(
              92,
              PinRefusal.class,
              EngineMessageTypes::writePinRefusal,
              EngineMessageTypes::readPinRefusal),
          new MessageType<>(
              93,
              PinRelease.class,
              EngineMessageTypes::writePinRelease,
              EngineMessageTypes::readPinRelease),
          new MessageType<>(
              94,
              PinRecall.class,
              EngineMessageTypes::writePinRecall,
              EngineMessageTypes::readPinRecall),
          new MessageType<>(
              95,
              PermitRequest.class,
              EngineMessageTypes::writePermitRequest,
              EngineMessageTypes::readPermitRequest),
          new MessageType<>(
              96,
              PermitGrant.class,
              EngineMessageTypes::writePermitGrant,
              EngineMessageTypes::readPermitGrant),
          new MessageType<>(
              97,
              PermitReturn.class,
              EngineMessageTypes::writePermitReturn,
              EngineMessageTypes::readPermitReturn),
          new MessageType<>(
              98,
              EngineHint.class,
              EngineMessageTypes::writeEngineHint,
              EngineMessageTypes::readEngineHint));

  private static final List<Priority> PRIORITIES = List.of(Priority.INTERACTIVE, Priority.BATCH);
  private static final List<PinRefusal.Reason> REASONS =
      List.of(
          PinRefusal.Reason.NOT_OWNER,
          PinRefusal.Reason.OWNERSHIP_UNCERTAIN,
          PinRefusal.Reason.LEAVING,
          PinRefusal.Reason.NO_SLOT,
          PinRefusal.Reason.LOAD_FAILED);

  private EngineMessageTypes() {}

  private static void writePinRequest(PinRequest message, MessagePacker packer) throws IOException {
    packer.packString(message.engine().text()).packLong(message.number());
    packer.packArrayHeader(message.demands().size());
    for (PinDemand demand : message.demands()) {
      packer.packString(demand.adapter().text());
      packer.packInt(demand.waitingRequests()).packInt(demand.startedRequests());
      packer.packInt(PRIORITIES.indexOf(demand.priority())).packInt(demand.loadsAhead());
    }
  }

  private static PinRequest readPinRequest(MessageUnpacker unpacker) throws IOException {
    UpstreamName engine = readEngine(unpacker);
    long number = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    List<PinDemand> demands = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      demands.add(
          new PinDemand(
              readAdapter(unpacker),
              unpacker.unpackInt(),
              unpacker.unpackInt(),
              constant(PRIORITIES, unpacker.unpackInt()),
              unpacker.unpackInt()));
    }
    return new PinRequest(engine, number, demands);
  }

  private static void writePinGrant(PinGrant message, MessagePacker packer) throws IOException {
    packer.packString(message.engine().text());
    packer.packLong(message.requester().value()).packLong(message.number());
    writeAdapters(message.adapters(), packer);
    packer.packLong(message.duration().toMillis());
  }

  private static PinGrant readPinGrant(MessageUnpacker unpacker) throws IOException {
    return new PinGrant(
        readEngine(unpacker),
        new Incarnation(unpacker.unpackLong()),
        unpacker.unpackLong(),
        readAdapters(unpacker),
        Duration.ofMillis(unpacker.unpackLong()));
  }

  private static void writePinRefusal(PinRefusal message, MessagePacker packer) throws IOException {
    packer.packString(message.engine().text());
    packer.packLong(message.requester().value()).packLong(message.number());
    packer.packString(message.adapter().text());
    packer.packInt(REASONS.indexOf(message.reason()));
    packer.packLong(message.retryAfter().toMillis());
  }

  private static PinRefusal readPinRefusal(MessageUnpacker unpacker) throws IOException {
    return new PinRefusal(
        readEngine(unpacker),
        new Incarnation(unpacker.unpackLong()),
        unpacker.unpackLong(),
        readAdapter(unpacker),
        constant(REASONS, unpacker.unpackInt()),
        Duration.ofMillis(unpacker.unpackLong()));
  }

  private static void writePinRelease(PinRelease message, MessagePacker packer) throws IOException {
    packer.packString(message.engine().text()).packLong(message.throughNumber());
    writeAdapters(message.adapters(), packer);
    packer.packInt(message.startedRequests()).packBoolean(message.missing());
  }

  private static PinRelease readPinRelease(MessageUnpacker unpacker) throws IOException {
    return new PinRelease(
        readEngine(unpacker),
        unpacker.unpackLong(),
        readAdapters(unpacker),
        unpacker.unpackInt(),
        unpacker.unpackBoolean());
  }

  private static void writePinRecall(PinRecall message, MessagePacker packer) throws IOException {
    packer.packString(message.engine().text()).packString(message.adapter().text());
  }

  private static PinRecall readPinRecall(MessageUnpacker unpacker) throws IOException {
    return new PinRecall(readEngine(unpacker), readAdapter(unpacker));
  }

  private static void writePermitRequest(PermitRequest message, MessagePacker packer)
      throws IOException {
    packer.packLong(message.number()).packLong(message.replaces()).packInt(message.weight());
  }

  private static PermitRequest readPermitRequest(MessageUnpacker unpacker) throws IOException {
    return new PermitRequest(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackInt());
  }

  private static void writePermitGrant(PermitGrant message, MessagePacker packer)
      throws IOException {
    packer.packLong(message.requester().value()).packLong(message.number());
    packer.packLong(message.startWindow().toMillis());
  }

  private static PermitGrant readPermitGrant(MessageUnpacker unpacker) throws IOException {
    return new PermitGrant(
        new Incarnation(unpacker.unpackLong()),
        unpacker.unpackLong(),
        Duration.ofMillis(unpacker.unpackLong()));
  }

  private static void writePermitReturn(PermitReturn message, MessagePacker packer)
      throws IOException {
    packer.packLong(message.number()).packBoolean(message.used());
  }

  private static PermitReturn readPermitReturn(MessageUnpacker unpacker) throws IOException {
    return new PermitReturn(unpacker.unpackLong(), unpacker.unpackBoolean());
  }

  private static void writeEngineHint(EngineHint message, MessagePacker packer) throws IOException {
    packer.packString(message.engine().text());
    packer.packInt(message.running()).packInt(message.waiting());
    writeAdapters(List.copyOf(message.resident()), packer);
    packer.packLong(message.age().toMillis());
  }

  private static EngineHint readEngineHint(MessageUnpacker unpacker) throws IOException {
    UpstreamName engine = readEngine(unpacker);
    int running = unpacker.unpackInt();
    int waiting = unpacker.unpackInt();
    Set<AdapterReference> resident = new HashSet<>(readAdapters(unpacker));
    return new EngineHint(
        engine, running, waiting, resident, Duration.ofMillis(unpacker.unpackLong()));
  }

  private static void writeAdapters(List<AdapterReference> adapters, MessagePacker packer)
      throws IOException {
    packer.packArrayHeader(adapters.size());
    for (AdapterReference adapter : adapters) {
      packer.packString(adapter.text());
    }
  }

  private static List<AdapterReference> readAdapters(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<AdapterReference> adapters = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      adapters.add(readAdapter(unpacker));
    }
    return adapters;
  }

  private static AdapterReference readAdapter(MessageUnpacker unpacker) throws IOException {
    return AdapterReference.parse(unpacker.unpackString());
  }

  private static UpstreamName readEngine(MessageUnpacker unpacker) throws IOException {
    return new UpstreamName(unpacker.unpackString());
  }

  private static <T> T constant(List<T> constants, int index) {
    if (index < 0 || index >= constants.size()) {
      throw new CodecException(CodecException.MALFORMED, "unknown constant " + index);
    }
    return constants.get(index);
  }
}
