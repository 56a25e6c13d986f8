package org.parsleyhead.entry.configuration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.ClientAccountItem;
import org.parsleyhead.core.ticket.Ticket;

@Tag("long-running")
@DisplayName("The control traffic of a fleet")
class ControlPlaneMeasurementTests {

  private static final int SECONDS = 20;
  private static final int TICKETS = 10;

  private static Ticket ticket(long number) {
    return new Ticket(
        new TicketNumber(number),
        List.of(Change.put(new ClientAccountItem(new ClientAccountName("depot"), number, number))));
  }

  private static long bytesOut(FakeFleet fleet) {
    return fleet.hosts().stream()
        .mapToLong(host -> host.plane().transport().figures().bytesOut())
        .sum();
  }

  private static long messagesOut(FakeFleet fleet) {
    return fleet.hosts().stream()
        .mapToLong(host -> host.plane().transport().figures().messagesOut())
        .sum();
  }

  private static long processorTime() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /** Returns the time until a ticket is in force on all hosts, in milliseconds. */
  private static long spread(FakePlatform platform, FakeFleet fleet, long number)
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
  @DisplayName("is printed for each number of hosts")
  void grows(int size) throws Exception {
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
      Thread.sleep(SECONDS * 1_000L);
      double hostSeconds = (double) size * SECONDS;
      System.out.printf(
          "hosts=%d bytes_per_second=%.0f messages_per_second=%.1f processor_percent=%.2f"
              + " calls_per_second=%.2f%n",
          size,
          (bytesOut(fleet) - bytes) / hostSeconds,
          (messagesOut(fleet) - messages) / hostSeconds,
          (processorTime() - processor) / 1e7 / hostSeconds,
          (double) (platform.calls() - calls) / SECONDS);
      long slowest = 0;
      for (int number = 2; number < 2 + TICKETS; number++) {
        slowest = Math.max(slowest, spread(platform, fleet, number));
      }
      System.out.printf("hosts=%d slowest_ticket_milliseconds=%d%n", size, slowest);
    }
  }
}
