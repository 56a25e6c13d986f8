package org.parsleyhead.codec.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The messages between idle hosts")
class FleetTrafficTests {

  private static final int MODEL_SERVERS = 56;

  /** The target for control, for each host. */
  private static final double MAXIMUM_BYTES_PER_SECOND = 3_000;

  private static final Duration START = Duration.ofSeconds(8);
  private static final Duration PERIOD = Duration.ofSeconds(12);

  private static double highest(List<FakeFleetNetwork.Traffic> traffic, boolean hub) {
    return traffic.stream()
        .filter(host -> host.hub() == hub)
        .mapToDouble(FakeFleetNetwork.Traffic::bytesPerSecond)
        .max()
        .orElse(0);
  }

  private static List<FakeFleetNetwork.Traffic> traffic(int hosts) {
    FakeFleetNetwork fleet = new FakeFleetNetwork(hosts, MODEL_SERVERS);
    fleet.run(START);
    List<FakeFleetNetwork.Traffic> traffic = fleet.run(PERIOD);
    assertTrue(fleet.allOwned(), hosts + " hosts");
    System.out.printf(
        "hosts=%d hub_bytes_s=%.0f other_bytes_s=%.0f other_messages_s=%.1f%n",
        hosts,
        highest(traffic, true),
        highest(traffic, false),
        traffic.stream()
            .filter(host -> !host.hub())
            .mapToDouble(FakeFleetNetwork.Traffic::messagesPerSecond)
            .max()
            .orElse(0));
    return traffic;
  }

  @Test
  @DisplayName("stay within the bytes for control at a host that is no hub, in any fleet")
  void staysWithinBytes() {
    for (int hosts : List.of(20, 95, 200)) {
      double bytes = highest(traffic(hosts), false);
      assertTrue(bytes <= MAXIMUM_BYTES_PER_SECOND, hosts + " hosts: " + bytes + " B/s");
    }
  }

  @Test
  @DisplayName("select six hubs in a large fleet")
  void selectsHubs() {
    assertEquals(6, traffic(95).stream().filter(FakeFleetNetwork.Traffic::hub).count());
  }
}
