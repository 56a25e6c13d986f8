package org.parsleyhead.integration.measure;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.MembershipMessageTypes;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.membership.MembershipEffect;
import org.parsleyhead.core.membership.MembershipEvent;
import org.parsleyhead.core.membership.MembershipSettings;
import org.parsleyhead.core.membership.MembershipState;
import org.parsleyhead.core.membership.MembershipTransition;

/**
 * Measures the cost of membership for each host, for a number of hosts. All hosts run in one
 * process; messages are delivered immediately and in order.
 *
 * <p>Confined to one thread.
 */
final class MembershipBenchmark {

  private static final Incarnation INCARNATION = new Incarnation(Long.MAX_VALUE);
  private static final PeerMessageCodec CODEC = new PeerMessageCodec(MembershipMessageTypes.TYPES);
  private static final int FRAME_AND_PACKET_HEADER_BYTES = 44;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final int TICKS_PER_SECOND = 10;
  private static final int WARM_UP_SECONDS = 15;
  private static final int MEASURED_SECONDS = 10;
  private static final long SEED = 1;
  private static final double PERCENT = 100;
  private static final double MICROSECONDS_PER_SECOND = 1e6;

  private final Random random = new Random(SEED);
  private final Map<HostName, TransitionRunner<MembershipState, MembershipEvent, MembershipEffect>>
      hosts = new HashMap<>();
  private final Queue<Delivery> deliveries = new ArrayDeque<>();
  private long bytes;
  private long messages;
  private long events;
  private long eventNanoseconds;

  private record Delivery(HostName sender, MembershipEffect.Send send) {}

  /** Measures a number of hosts in cells of a given size. */
  static ReportRow measure(int count, int cellSize) {
    return new MembershipBenchmark().run(count, cellSize);
  }

  private ReportRow run(int count, int cellSize) {
    final long heap = ResourceUsage.usedHeapBytes();
    HostList list = list(count, cellSize);
    for (HostEntry entry : list.hosts()) {
      MembershipSettings settings = MembershipSettings.of(entry.name(), INCARNATION);
      hosts.put(
          entry.name(),
          new TransitionRunner<>(
              new MembershipTransition(settings),
              MembershipState.initial(settings, MonotonicTime.ORIGIN),
              MonotonicTime.ORIGIN));
    }
    hosts.forEach((name, host) -> apply(name, host, new MembershipEvent.HostListRead(list)));
    tick(WARM_UP_SECONDS);
    final long used = ResourceUsage.usedHeapBytes() - heap;
    bytes = 0;
    messages = 0;
    events = 0;
    eventNanoseconds = 0;
    tick(MEASURED_SECONDS);
    double hostSeconds = (double) count * MEASURED_SECONDS;
    double microseconds = eventNanoseconds / 1e3;
    return ReportRow.of("membership_by_hosts")
        .with("hosts", count)
        .with("cell_size", Math.min(cellSize, count))
        .with("bytes_kept_per_host", (double) used / count)
        .with("sent_messages_per_second", messages / hostSeconds)
        .with("sent_bytes_per_second", bytes / hostSeconds)
        .with("event_microseconds", microseconds / events)
        .with("core_percent", PERCENT * microseconds / MICROSECONDS_PER_SECOND / hostSeconds);
  }

  private void tick(int seconds) {
    for (int count = 0; count < seconds * TICKS_PER_SECOND; count++) {
      hosts.values().forEach(host -> host.advanceTime(TICK_INTERVAL));
      hosts.forEach((name, host) -> apply(name, host, new MembershipEvent.Tick(random.nextLong())));
      while (!deliveries.isEmpty()) {
        deliver(deliveries.poll());
      }
    }
  }

  private void deliver(Delivery delivery) {
    HostName receiver = delivery.send().host();
    Sender sender = new Sender(delivery.sender(), INCARNATION);
    messages++;
    bytes +=
        FRAME_AND_PACKET_HEADER_BYTES
            + CODEC.encode(new Envelope(sender, delivery.send().message())).length;
    apply(
        receiver,
        hosts.get(receiver),
        new MembershipEvent.MessageReceived(sender, delivery.send().message()));
  }

  private void apply(
      HostName name,
      TransitionRunner<MembershipState, MembershipEvent, MembershipEffect> host,
      MembershipEvent event) {
    long start = ResourceUsage.threadCpuNanoseconds();
    List<MembershipEffect> effects = new ArrayList<>(host.apply(event));
    eventNanoseconds += ResourceUsage.threadCpuNanoseconds() - start;
    events++;
    for (MembershipEffect effect : effects) {
      if (effect instanceof MembershipEffect.Send send) {
        deliveries.add(new Delivery(name, send));
      } else if (effect instanceof MembershipEffect.RightsChanged changed) {
        apply(name, host, new MembershipEvent.RightsApplied(changed.sequence()));
      }
    }
  }

  private static HostList list(int count, int cellSize) {
    List<HostEntry> entries = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      entries.add(
          new HostEntry(
              new HostName(String.format("entry-host-%04d.region-%02d", index, index % 11)),
              Endpoint.parse("10.0.0.1:7400"),
              new RegionName("region-" + index % 11),
              new FailureDomainName("domain-" + index % 30),
              "cell-" + index / cellSize,
              false));
    }
    return new HostList(1, entries, Set.of());
  }
}
