package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.dispatch.InstanceLoad;
import org.parsleyhead.core.fleet.Heartbeat;
import org.parsleyhead.core.fleet.HeartbeatAnswer;
import org.parsleyhead.core.fleet.HostSummary;
import org.parsleyhead.core.fleet.LoadAnswer;
import org.parsleyhead.core.fleet.LoadRequest;
import org.parsleyhead.core.fleet.PublicationUpdate;
import org.parsleyhead.core.fleet.PublicationUpdateRequest;
import org.parsleyhead.core.fleet.QuarantineReport;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.publication.PublishedItem;

/**
 * The message types for gateway hosts, which operate without a published host list, codes 109, 111,
 * 112, 116, 117, 123 and 124. The other codes from 100 to 119 belonged to former encodings.
 *
 * <p>Stateless and thread-safe.
 */
public final class FleetMessageTypes {

  /** All types of this group. */
  public static final List<MessageType<?>> TYPES =
      List.of(
          new MessageType<>(
              123,
              Heartbeat.class,
              FleetMessageTypes::writeHeartbeat,
              FleetMessageTypes::readHeartbeat),
          new MessageType<>(
              124,
              HeartbeatAnswer.class,
              FleetMessageTypes::writeAnswer,
              FleetMessageTypes::readAnswer),
          new MessageType<>(
              116,
              LoadRequest.class,
              FleetMessageTypes::writeLoadRequest,
              FleetMessageTypes::readLoadRequest),
          new MessageType<>(
              117,
              LoadAnswer.class,
              FleetMessageTypes::writeLoadAnswer,
              FleetMessageTypes::readLoadAnswer),
          new MessageType<>(
              111,
              PublicationUpdateRequest.class,
              (message, packer) ->
                  packer
                      .packString(message.endpoint())
                      .packLong(message.era())
                      .packLong(message.afterRevision()),
              unpacker ->
                  new PublicationUpdateRequest(
                      unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong())),
          new MessageType<>(
              112,
              PublicationUpdate.class,
              FleetMessageTypes::writeUpdate,
              FleetMessageTypes::readUpdate),
          new MessageType<>(
              109, QuarantineReport.class, QuarantineEncoding::write, QuarantineEncoding::read));

  private FleetMessageTypes() {}

  private static void writeHeartbeat(Heartbeat message, MessagePacker packer) throws IOException {
    packer
        .packLong(message.nonce())
        .packString(message.endpoint())
        .packBoolean(message.leaving())
        .packLong(message.era())
        .packLong(message.revision())
        .packLong(message.highestFence())
        .packBoolean(message.membershipKnown())
        .packBoolean(message.contested());
    packer.packInt(message.capacityPercent());
    packer.packLong(message.membershipDigest());
    writeMap(message.hosts(), FleetMessageTypes::writeHostSummary, packer);
    writeStrings(message.claims(), packer);
    boolean claimsHeldInstances = message.heldInstances().equals(message.claims());
    packer.packBoolean(claimsHeldInstances);
    if (!claimsHeldInstances) {
      writeStrings(message.heldInstances(), packer);
    }
    packer.packBoolean(message.aggregated());
    writeMap(message.admittedUnits(), MessagePacker::packDouble, packer);
    writeMap(message.loads(), FleetMessageTypes::writeLoad, packer);
    writeMap(message.adapterRequests(), FleetMessageTypes::writeAdapterRequests, packer);
    packer.packArrayHeader(message.reports().size());
    for (AdapterReport report : message.reports()) {
      writeReport(report, packer);
    }
    packer.packBoolean(message.answer().isPresent());
    if (message.answer().isPresent()) {
      writeAnswer(message.answer().get(), packer);
    }
  }

  private static Heartbeat readHeartbeat(MessageUnpacker unpacker) throws IOException {
    long nonce = unpacker.unpackLong();
    String endpoint = unpacker.unpackString();
    boolean leaving = unpacker.unpackBoolean();
    long era = unpacker.unpackLong();
    long revision = unpacker.unpackLong();
    long highestFence = unpacker.unpackLong();
    final boolean membershipKnown = unpacker.unpackBoolean();
    final boolean contested = unpacker.unpackBoolean();
    final int capacityPercent = unpacker.unpackInt();
    final long membershipDigest = unpacker.unpackLong();
    Map<String, HostSummary> hosts = readMap(FleetMessageTypes::readHostSummary, unpacker);
    List<String> claims = readStrings(unpacker);
    List<String> heldInstances = unpacker.unpackBoolean() ? claims : readStrings(unpacker);
    final boolean aggregated = unpacker.unpackBoolean();
    Map<String, Double> admittedUnits = readMap(MessageUnpacker::unpackDouble, unpacker);
    Map<String, InstanceLoad> loads = readMap(FleetMessageTypes::readLoad, unpacker);
    Map<String, Map<AdapterKey, Integer>> adapterRequests =
        readMap(FleetMessageTypes::readAdapterRequests, unpacker);
    int size = unpacker.unpackArrayHeader();
    List<AdapterReport> reports = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      reports.add(readReport(unpacker));
    }
    Optional<HeartbeatAnswer> answer =
        unpacker.unpackBoolean() ? Optional.of(readAnswer(unpacker)) : Optional.empty();
    return new Heartbeat(
        nonce,
        endpoint,
        leaving,
        era,
        revision,
        highestFence,
        membershipKnown,
        contested,
        capacityPercent,
        membershipDigest,
        hosts,
        claims,
        heldInstances,
        aggregated,
        admittedUnits,
        loads,
        adapterRequests,
        reports,
        answer);
  }

  private static void writeAnswer(HeartbeatAnswer message, MessagePacker packer)
      throws IOException {
    packer
        .packLong(message.nonce())
        .packString(message.endpoint())
        .packLong(message.highestFence())
        .packInt(message.knownHosts())
        .packBoolean(message.newcomer())
        .packBoolean(message.votesForAll());
    writeStrings(message.votes(), packer);
  }

  private static HeartbeatAnswer readAnswer(MessageUnpacker unpacker) throws IOException {
    return new HeartbeatAnswer(
        unpacker.unpackLong(),
        unpacker.unpackString(),
        unpacker.unpackLong(),
        unpacker.unpackInt(),
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean(),
        readStrings(unpacker));
  }

  private static void writeLoadRequest(LoadRequest message, MessagePacker packer)
      throws IOException {
    packer.packString(message.endpoint()).packString(message.instance());
    writeAdapter(message.adapter(), packer);
    RankEncoding.write(message.rank(), packer);
  }

  private static LoadRequest readLoadRequest(MessageUnpacker unpacker) throws IOException {
    return new LoadRequest(
        unpacker.unpackString(),
        unpacker.unpackString(),
        readAdapter(unpacker),
        RankEncoding.read(unpacker));
  }

  private static void writeLoadAnswer(LoadAnswer message, MessagePacker packer) throws IOException {
    packer.packString(message.instance());
    writeAdapter(message.adapter(), packer);
    packer
        .packBoolean(message.ordered())
        .packLong(message.readyInMilliseconds())
        .packLong(message.loadingForMilliseconds())
        .packString(message.reason());
  }

  private static LoadAnswer readLoadAnswer(MessageUnpacker unpacker) throws IOException {
    return new LoadAnswer(
        unpacker.unpackString(),
        readAdapter(unpacker),
        unpacker.unpackBoolean(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackString());
  }

  private static void writeUpdate(PublicationUpdate message, MessagePacker packer)
      throws IOException {
    packer.packLong(message.era()).packLong(message.afterRevision()).packLong(message.revision());
    packer.packArrayHeader(message.items().size());
    for (PublishedItem item : message.items()) {
      packer.packString(item.key()).packLong(item.revision());
      packer.packBoolean(item.value().isPresent());
      if (item.value().isPresent()) {
        packer.packString(item.value().get());
      }
    }
    FormerCopyEncoding.write(message.former(), packer);
  }

  private static PublicationUpdate readUpdate(MessageUnpacker unpacker) throws IOException {
    final long era = unpacker.unpackLong();
    final long afterRevision = unpacker.unpackLong();
    final long revision = unpacker.unpackLong();
    int size = unpacker.unpackArrayHeader();
    List<PublishedItem> items = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      String key = unpacker.unpackString();
      long itemRevision = unpacker.unpackLong();
      Optional<String> value =
          unpacker.unpackBoolean() ? Optional.of(unpacker.unpackString()) : Optional.empty();
      items.add(new PublishedItem(key, era, itemRevision, value));
    }
    return new PublicationUpdate(
        era, items, afterRevision, revision, FormerCopyEncoding.read(unpacker));
  }

  private static void writeReport(AdapterReport report, MessagePacker packer) throws IOException {
    packer
        .packString(report.instance())
        .packLong(report.startedAtMilliseconds())
        .packLong(report.orderCount());
    writeStrings(List.copyOf(report.models()), packer);
    packer.packArrayHeader(report.adapters().size());
    for (Map.Entry<AdapterKey, Long> adapter : report.adapters().entrySet()) {
      writeAdapter(adapter.getKey(), packer);
      packer.packLong(adapter.getValue());
    }
    packer.packInt(report.freeSlots());
  }

  private static AdapterReport readReport(MessageUnpacker unpacker) throws IOException {
    final String instance = unpacker.unpackString();
    final long startedAt = unpacker.unpackLong();
    final long orderCount = unpacker.unpackLong();
    final List<String> models = readStrings(unpacker);
    int size = unpacker.unpackArrayHeader();
    Map<AdapterKey, Long> adapters = new HashMap<>();
    for (int index = 0; index < size; index++) {
      adapters.put(readAdapter(unpacker), unpacker.unpackLong());
    }
    return new AdapterReport(
        instance, startedAt, orderCount, Set.copyOf(models), adapters, unpacker.unpackInt());
  }

  private static void writeHostSummary(MessagePacker packer, HostSummary summary)
      throws IOException {
    packer
        .packLong(summary.silenceMilliseconds())
        .packInt(summary.capacityPercent())
        .packBoolean(summary.member());
  }

  private static HostSummary readHostSummary(MessageUnpacker unpacker) throws IOException {
    return new HostSummary(unpacker.unpackLong(), unpacker.unpackInt(), unpacker.unpackBoolean());
  }

  private static void writeLoad(MessagePacker packer, InstanceLoad load) throws IOException {
    packer
        .packInt(load.running())
        .packLong(load.pendingPromptTokens())
        .packLong(load.reservedTokens());
  }

  private static InstanceLoad readLoad(MessageUnpacker unpacker) throws IOException {
    return new InstanceLoad(unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackLong());
  }

  private static void writeAdapterRequests(
      MessagePacker packer, Map<AdapterKey, Integer> adapterRequests) throws IOException {
    packer.packArrayHeader(adapterRequests.size());
    for (Map.Entry<AdapterKey, Integer> entry : adapterRequests.entrySet()) {
      writeAdapter(entry.getKey(), packer);
      packer.packInt(entry.getValue());
    }
  }

  private static Map<AdapterKey, Integer> readAdapterRequests(MessageUnpacker unpacker)
      throws IOException {
    int size = unpacker.unpackArrayHeader();
    Map<AdapterKey, Integer> adapterRequests = new HashMap<>();
    for (int index = 0; index < size; index++) {
      adapterRequests.put(readAdapter(unpacker), unpacker.unpackInt());
    }
    return adapterRequests;
  }

  private static void writeAdapter(AdapterKey adapter, MessagePacker packer) throws IOException {
    packer.packString(adapter.model()).packString(adapter.adapter());
  }

  private static AdapterKey readAdapter(MessageUnpacker unpacker) throws IOException {
    return new AdapterKey(unpacker.unpackString(), unpacker.unpackString());
  }

  private static void writeStrings(List<String> strings, MessagePacker packer) throws IOException {
    packer.packArrayHeader(strings.size());
    for (String string : strings) {
      packer.packString(string);
    }
  }

  private static List<String> readStrings(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<String> strings = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      strings.add(unpacker.unpackString());
    }
    return strings;
  }

  private static <V> void writeMap(Map<String, V> map, ValueWriter<V> writer, MessagePacker packer)
      throws IOException {
    packer.packArrayHeader(map.size());
    for (Map.Entry<String, V> entry : map.entrySet()) {
      packer.packString(entry.getKey());
      writer.write(packer, entry.getValue());
    }
  }

  private static <V> Map<String, V> readMap(ValueReader<V> reader, MessageUnpacker unpacker)
      throws IOException {
    int size = unpacker.unpackArrayHeader();
    Map<String, V> map = new HashMap<>();
    for (int index = 0; index < size; index++) {
      map.put(unpacker.unpackString(), reader.read(unpacker));
    }
    return map;
  }

  /** Encodes a map value. */
  @FunctionalInterface
  private interface ValueWriter<V> {

    void write(MessagePacker packer, V value) throws IOException;
  }

  /** Decodes a map value. */
  @FunctionalInterface
  private interface ValueReader<V> {

    V read(MessageUnpacker unpacker) throws IOException;
  }
}
