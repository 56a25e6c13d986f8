package org.parsleyhead.entry.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.Ticket;

@Tag("long-running")
@DisplayName("The control plane traffic of a fleet")
class ControlPlaneMeasurementTests {

  private static final int MEASUREMENT_SECONDS = 20;
  private static final int TICKETS = 10;

  private static Ticket ticket(long number) {
    return new Ticket(
        new TicketNumber(number),
        List.of(Change.put(new ClientAccountItem(new ClientAccountName("depot"), number, number))));
  }

  private static long bytesOut(FakeFleet fleet) {
    return fleet.hosts().stream()
        .mapToLong(host -> host.plane().transport().statistics().bytesOut())
        .sum();
  }

  private static long messagesOut(FakeFleet fleet) {
    return fleet.hosts().stream()
        .mapToLong(host -> host.plane().transport().statistics().messagesOut())
        .sum();
  }

  private static long processorTime() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /** Returns the time until a ticket is applied on all hosts, in milliseconds. */
  private static long propagationMilliseconds(FakePlatform platform, FakeFleet fleet, long number)
      throws InterruptedException {
    long start = System.nanoTime();
    platform.publish(ticket(number));
    while (fleet.hosts().stream()
        .anyMatch(host -> host.plane().configuration().mergedThrough() < number)) {
      Thread.sleep(1);
    }
    return (System.nanoTime() - start) / 1_000_000;
  }

  @ParameterizedTest
  @ValueSource(ints = {6, 12, 24, 60})
  @DisplayName("is measured for several fleet sizes")
  void measuresTraffic(int size) throws Exception {
    try (FakePlatform platform = new FakePlatform();
        FakeFleet fleet = new FakeFleet(size, Duration.ofSeconds(10))) {
      platform.publish(ticket(1));
      platform.publish(fleet.hostList());
      for (int index = 0; index < size; index++) {
        fleet.start(index, platform.uri());
      }
      for (FakeFleet.Host host : fleet.hosts()) {
        assertTrue(host.ready().await(120, TimeUnit.SECONDS));
      }
      Thread.sleep(15_000);
      long bytes = bytesOut(fleet);
      long messages = messagesOut(fleet);
      long processor = processorTime();
      int calls = platform.calls();
      Thread.sleep(MEASUREMENT_SECONDS * 1_000L);
      double hostSeconds = (double) size * MEASUREMENT_SECONDS;
      System.out.printf(
          "hosts=%d bytes_per_second=%.0f messages_per_second=%.1f processor_percent=%.2f"
              + " calls_per_second=%.2f%n",
          size,
          (bytesOut(fleet) - bytes) / hostSeconds,
          (messagesOut(fleet) - messages) / hostSeconds,
          (processorTime() - processor) / 1e7 / hostSeconds,
          (double) (platform.calls() - calls) / MEASUREMENT_SECONDS);
      long slowest = 0;
      for (int number = 2; number < 2 + TICKETS; number++) {
        slowest = Math.max(slowest, propagationMilliseconds(platform, fleet, number));
      }
      System.out.printf("hosts=%d slowest_ticket_milliseconds=%d%n", size, slowest);
    }
  }

  private static Ticket adapters(long number, int first, int count) {
    List<Change> changes = new ArrayList<>();
    for (int index = first; index < first + count; index++) {
      changes.add(
          Change.put(
              new AdapterItem(
                  new AdapterName("bottling-floor-assistant-" + index),
                  new ModelName("base-model-large"),
                  Set.of(1),
                  "/weights/adapters/bottling-floor-assistant-" + index,
                  Set.of(new ClientAccountName("account-" + index % 5)))));
    }
    return new Ticket(new TicketNumber(number), changes);
  }

  @ParameterizedTest
  @ValueSource(ints = {3_000, 86_000})
  @DisplayName("is measured while a new host copies all configuration from a peer")
  void measuresFullSynchronization(int size) throws Exception {
    try (FakePlatform platform = new FakePlatform();
        FakePlatform withoutTickets = new FakePlatform();
        FakeFleet fleet = new FakeFleet(2, Duration.ofSeconds(10))) {
      for (int first = 0; first < size; first += 1_000) {
        platform.publish(adapters(first / 1_000 + 1, first, 1_000));
      }
      platform.publish(fleet.hostList());
      withoutTickets.publish(fleet.hostList());
      FakeFleet.Host full = fleet.start(0, platform.uri());
      assertTrue(full.ready().await(120, TimeUnit.SECONDS));
      final long start = System.nanoTime();
      final long bytes = full.plane().transport().statistics().bytesOut();
      FakeFleet.Host fresh = fleet.start(1, withoutTickets.uri());
      assertTrue(fresh.ready().await(120, TimeUnit.SECONDS));
      assertEquals(size, fresh.plane().configuration().catalogue().adapters().count());
      System.out.printf(
          "adapters=%d ready_milliseconds=%d bytes=%d%n",
          size,
          (System.nanoTime() - start) / 1_000_000,
          full.plane().transport().statistics().bytesOut() - bytes);
    }
  }
}
