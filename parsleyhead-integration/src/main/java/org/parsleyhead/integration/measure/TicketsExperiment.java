package org.parsleyhead.integration.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinClient;
import org.parsleyhead.integration.fleet.StandinLayout;

/**
 * Measures the time from the publication of a ticket until it is in force on all hosts, with the
 * configuration service up and with the service down as soon as one host has the ticket. Also
 * measures the cost of idle hosts.
 *
 * <p>Stateless and thread-safe.
 */
final class TicketsExperiment implements Experiment {

  private static final int CELL_SIZE = 6;
  private static final String SMALL_HEAP = "-Xmx64m -Xss512k -XX:+UseSerialGC";
  private static final String DEFAULT_HEAP = "-Xmx256m";
  private static final int MAXIMUM_HOSTS_WITH_DEFAULT_HEAP = 12;
  private static final int REPETITIONS = 5;
  private static final int QUICK_REPETITIONS = 2;
  private static final Duration SETTLING_TIME = Duration.ofSeconds(15);
  private static final Duration IDLE_TIME = Duration.ofSeconds(20);
  private static final Duration QUICK_IDLE_TIME = Duration.ofSeconds(10);
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;
  private static final double BYTES_PER_MEBIBYTE = 1 << 20;
  private static final long RATE_STEP = 1_000;
  private static final int UNAUTHORIZED = 401;
  private static final String CONFIGURATION = "configuration";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Override
  public void run(MeasureOptions options, Report report) {
    for (int count : options.isQuick() ? options.hosts(6, 12) : options.hosts(6, 12, 24, 60)) {
      Path directory = MeasuredFleet.workFolder(options, "tickets");
      StandinLayout layout = StandinLayout.onFreePorts(1, List.of("stock-1"));
      try (MeasuredFleet fleet =
          MeasuredFleet.start(
              directory,
              layout,
              count,
              CELL_SIZE,
              Map.of(),
              count > MAXIMUM_HOSTS_WITH_DEFAULT_HEAP ? SMALL_HEAP : DEFAULT_HEAP,
              List.of(SampleTickets.first(layout)))) {
        Sleeper.sleep(SETTLING_TIME);
        report.add(measureIdle(fleet, options.isQuick() ? QUICK_IDLE_TIME : IDLE_TIME));
        new Publications(fleet, report, options.isQuick() ? QUICK_REPETITIONS : REPETITIONS).run();
      }
    }
  }

  private static ReportRow measureIdle(MeasuredFleet fleet, Duration duration) {
    long calls = countPlatformCalls(fleet);
    List<HostSample> before = fleet.sampleMetrics();
    Sleeper.sleep(duration);
    List<HostSample> after = fleet.sampleMetrics();
    long callsAfter = countPlatformCalls(fleet);
    double bytes = 0;
    double processors = 0;
    double heap = 0;
    for (int index = 0; index < before.size(); index++) {
      HostSample first = before.get(index);
      HostSample last = after.get(index);
      bytes += (last.peerBytesSent() - first.peerBytesSent()) / last.secondsSince(first);
      processors += last.cpuCoresSince(first);
      heap = Math.max(heap, last.heapBytes());
    }
    int count = before.size();
    return ReportRow.of("idle_hosts")
        .with("hosts", count)
        .with("cell_size", Math.min(CELL_SIZE, count))
        .with("sent_bytes_per_second_per_host", bytes / count)
        .with("processor_percent_per_host", PERCENT * processors / count)
        .with("heap_maximum_mebibytes", heap / BYTES_PER_MEBIBYTE)
        .with("platform_calls_per_second", (double) (callsAfter - calls) / duration.toSeconds());
  }

  private static long countPlatformCalls(MeasuredFleet fleet) {
    try {
      JsonNode counts = MAPPER.readTree(fleet.fleet().standins().fetchCallCounts());
      return counts.path(CONFIGURATION).path("calls").asLong()
          + counts.path("hosts").path("calls").asLong();
    } catch (JsonProcessingException exception) {
      throw new FleetException("call counts of the stand-ins are not JSON", exception);
    }
  }

  /** Publishes tickets one after another and measures each. Confined to one thread. */
  private static final class Publications {

    private final MeasuredFleet fleet;
    private final Report report;
    private final int repetitions;
    private long lastNumber = 1;

    Publications(MeasuredFleet fleet, Report report, int repetitions) {
      this.fleet = fleet;
      this.report = report;
      this.repetitions = repetitions;
    }

    void run() {
      List<Double> limits = new ArrayList<>();
      List<Double> down = new ArrayList<>();
      List<Double> keys = new ArrayList<>();
      for (int count = 0; count < repetitions; count++) {
        limits.add(measurePublication(limitsTicket(++lastNumber), false));
        down.add(measurePublication(limitsTicket(++lastNumber), true));
        keys.add(revokeKey("measured-key-" + count));
      }
      addRow("limits_service_up", limits);
      addRow("limits_service_down_after_first_host", down);
      addRow("key_withdrawn_service_up", keys);
    }

    private Ticket limitsTicket(long number) {
      return SampleTickets.limits(
          number, SampleTickets.CORDIALS, RATE_STEP * number, RATE_STEP * number);
    }

    private double measurePublication(Ticket ticket, boolean serviceDown) {
      StandinClient standinClient = fleet.fleet().standins();
      final long start = System.nanoTime();
      standinClient.publish(ticket);
      String inForce = "\"in_force\":" + ticket.number();
      Predicate<EntryHost> isInForce =
          host ->
              fleet
                  .client()
                  .tryGet(host.administrationEndpoint(), "/tickets")
                  .filter(response -> response.body().contains(inForce))
                  .isPresent();
      if (serviceDown) {
        awaitAllExcept(isInForce, fleet.hosts().size() - 1);
        standinClient.setMode(CONFIGURATION, "down");
      }
      awaitAllExcept(isInForce, 0);
      final double seconds = (System.nanoTime() - start) / NANOSECONDS_PER_SECOND;
      if (serviceDown) {
        standinClient.setMode(CONFIGURATION, "up");
        Sleeper.sleep(Duration.ofSeconds(6));
      }
      return seconds;
    }

    private double revokeKey(String key) {
      measurePublication(SampleTickets.issueKey(++lastNumber, key, SampleTickets.CORDIALS), false);
      long start = System.nanoTime();
      fleet.fleet().standins().publish(SampleTickets.revokeKey(++lastNumber, key));
      awaitAllExcept(
          host ->
              fleet.client().call("GET", host.callerEndpoint(), "/v1/models", key, "").statusCode()
                  == UNAUTHORIZED,
          0);
      return (System.nanoTime() - start) / NANOSECONDS_PER_SECOND;
    }

    /** Waits until a change is in force on all but a number of hosts. */
    private void awaitAllExcept(Predicate<EntryHost> isInForce, int allowedRemaining) {
      List<EntryHost> remaining = new ArrayList<>(fleet.hosts());
      long end = System.nanoTime() + TIMEOUT.toNanos();
      while (true) {
        remaining.removeIf(isInForce);
        if (remaining.size() <= allowedRemaining) {
          return;
        }
        if (System.nanoTime() > end) {
          throw new FleetException(
              "change is not in force on " + remaining.size() + " hosts in time");
        }
        Sleeper.sleep(POLL_INTERVAL);
      }
    }

    private void addRow(String change, List<Double> seconds) {
      report.add(
          ReportRow.of("seconds_to_force_on_last_host")
              .with("hosts", fleet.hosts().size())
              .with("change", change)
              .with("tickets", seconds.size())
              .with(
                  "mean_seconds", seconds.stream().mapToDouble(value -> value).average().orElse(0))
              .with(
                  "longest_seconds", seconds.stream().mapToDouble(value -> value).max().orElse(0)));
    }
  }
}
