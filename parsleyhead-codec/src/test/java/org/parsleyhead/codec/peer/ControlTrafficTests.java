package org.parsleyhead.codec.peer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.Attestation;
import org.parsleyhead.core.membership.AttestationRequest;
import org.parsleyhead.core.membership.Liveness;
import org.parsleyhead.core.membership.LivenessUpdate;
import org.parsleyhead.core.membership.Probe;
import org.parsleyhead.core.membership.ProbeAnswer;
import org.parsleyhead.core.membership.ProbeRelay;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ConfigurationSummary;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.core.ticket.TicketFragment;

@DisplayName("The control traffic of one host in a fleet of 360")
class ControlTrafficTests {

  private static final double MAXIMUM_BYTES_PER_SECOND = 3_000;
  private static final int FRAME_BYTES = 4;
  private static final int PACKET_HEADER_BYTES = 40;
  private static final int MAXIMUM_UPDATES = 6;
  private static final double TICKETS_PER_SECOND = 12_000 / 86_400.0;
  private static final int PUSH_FANOUT = 4;
  private static final double COMPARISONS_PER_SECOND = 0.5;
  private static final double PINGS_PER_SECOND = 0.5;
  private static final double RELAYS_PER_SECOND = 0.1;

  private static final HostName HOST = new HostName("entry-host-0123.region-07");
  private static final Incarnation INCARNATION = new Incarnation(Long.MAX_VALUE);
  private static final PeerMessageCodec CODEC =
      new PeerMessageCodec(
          Stream.of(MembershipMessageTypes.TYPES, TicketMessageTypes.TYPES)
              .flatMap(List::stream)
              .toList());

  private static int packetBytes(PeerMessage message) {
    int encoded = CODEC.encode(new Envelope(new Sender(HOST, INCARNATION), message)).length;
    return PACKET_HEADER_BYTES + FRAME_BYTES + encoded;
  }

  private static List<LivenessUpdate> updates() {
    List<LivenessUpdate> updates = new ArrayList<>();
    for (int count = 0; count < MAXIMUM_UPDATES; count++) {
      updates.add(new LivenessUpdate(HOST, 1_000, Liveness.SUSPECTED));
    }
    return updates;
  }

  private static TicketFragment fragment() {
    AdapterItem adapter =
        new AdapterItem(
            new AdapterName("bottling-floor-assistant-accra-0123"),
            new ModelName("base-model-large"),
            Set.of(11, 12),
            "/weights/adapters/bottling-floor-assistant-accra-0123",
            Set.of(new ClientAccountName("asante-mensah-cordials")));
    return TicketFragment.whole(
        new Ticket(new TicketNumber(12_000_000), List.of(Change.put(adapter))));
  }

  private static double membershipBytesPerSecond(int cellSize) {
    double others = cellSize - 1.0;
    int request = packetBytes(new AttestationRequest(Long.MIN_VALUE, 100_000));
    int attestation =
        packetBytes(new Attestation(Long.MIN_VALUE, INCARNATION, 100_000, Duration.ofSeconds(10)));
    int probe = packetBytes(new Probe(Long.MIN_VALUE, updates()));
    int answer = packetBytes(new ProbeAnswer(Long.MIN_VALUE, updates()));
    int relay = packetBytes(new ProbeRelay(Long.MIN_VALUE, HOST));
    double pings = 2 * PINGS_PER_SECOND * others * (PACKET_HEADER_BYTES + FRAME_BYTES);
    return others * (request + attestation) + probe + answer + RELAYS_PER_SECOND * relay + pings;
  }

  private static double configurationBytesPerSecond() {
    int summary =
        packetBytes(
            new ConfigurationSummary(
                12_000_000, 12_000_000, Long.MIN_VALUE, Duration.ofHours(1), true, true));
    return 2 * COMPARISONS_PER_SECOND * summary
        + TICKETS_PER_SECOND * PUSH_FANOUT * packetBytes(fragment());
  }

  @ParameterizedTest
  @ValueSource(ints = {6, 8, 9})
  @DisplayName("stays below 3 KB per second, including packet headers and full gossip updates")
  void staysUnderBound(int cellSize) {
    double bytes = membershipBytesPerSecond(cellSize) + configurationBytesPerSecond();
    System.out.printf(
        "cell_size=%d membership_bytes_per_second=%.0f configuration_bytes_per_second=%.0f%n",
        cellSize, membershipBytesPerSecond(cellSize), configurationBytesPerSecond());
    assertTrue(bytes < MAXIMUM_BYTES_PER_SECOND, "bytes per second: " + bytes);
  }
}
