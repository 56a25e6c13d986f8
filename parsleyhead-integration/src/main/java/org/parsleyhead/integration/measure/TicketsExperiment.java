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
import org.parsleyhead.integration.fleet.Platform;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;

/**
 * Measures the time from publishing a ticket to force on the last host, with the configuration
 * service up and with it down as soon as one host has the ticket, and what idle hosts cost.
 *
 * <p>Stateless and thread-safe.
 */
final class TicketsExperiment implements Experiment {

  private static final int CELL_SIZE = 6;
  private static final String SMALL_HEAP = "-Xmx64m -Xss512k -XX:+UseSerialGC";
  private static final String USUAL_HEAP = "-Xmx256m";
  private static final int LARGE_FLEET = 12;
  private static final int REPETITIONS = 5;
  private static final int QUICK_REPETITIONS = 2;
  private static final Duration SETTLING = Duration.ofSeconds(15);
  private static final Duration IDLE = Duration.ofSeconds(20);
  private static final Duration QUICK_IDLE = Duration.ofSeconds(10);
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
              count > LARGE_FLEET ? SMALL_HEAP : USUAL_HEAP,
              List.of(SampleTickets.first(layout)))) {
        Pause.of(SETTLING);
        report.add(idle(fleet, options.isQuick() ? QUICK_IDLE : IDLE));
        new Publications(fleet, report, options.isQuick() ? QUICK_REPETITIONS : REPETITIONS).run();
      }
    }
  }

  private static Figures idle(MeasuredFleet fleet, Duration duration) {
    long calls = platformCalls(fleet);
    List<HostSample> before = fleet.samples();
    Pause.of(duration);
    List<HostSample> after = fleet.samples();
    long callsAfter = platformCalls(fleet);
    double bytes = 0;
    double processors = 0;
    double heap = 0;
    for (int index = 0; index < before.size(); index++) {
      HostSample first = before.get(index);
      HostSample last = after.get(index);
      bytes += (last.sentBytes() - first.sentBytes()) / last.secondsSince(first);
      processors += last.processorsSince(first);
      heap = Math.max(heap, last.heapBytes());
    }
    int count = before.size();
    return Figures.of("idle_hosts")
        .with("hosts", count)
        .with("cell_size", Math.min(CELL_SIZE, count))
        .with("sent_bytes_per_second_per_host", bytes / count)
        .with("processor_percent_per_host", PERCENT * processors / count)
        .with("heap_maximum_mebibytes", heap / BYTES_PER_MEBIBYTE)
        .with("platform_calls_per_second", (double) (callsAfter - calls) / duration.toSeconds());
  }

  private static long platformCalls(MeasuredFleet fleet) {
    try {
      JsonNode counts = MAPPER.readTree(fleet.fleet().platform().callCounts());
      return counts.path(CONFIGURATION).path("calls").asLong()
          + counts.path("hosts").path("calls").asLong();
    } catch (JsonProcessingException exception) {
      throw new FleetException("the platform's counts are not JSON", exception);
    }
  }

  /** Publishes tickets one after another on a fleet. Confined to one thread. */
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
        limits.add(publish(limits(++lastNumber), false));
        down.add(publish(limits(++lastNumber), true));
        keys.add(revoke("measured-key-" + count));
      }
      add("limits_service_up", limits);
      add("limits_service_down_after_first_host", down);
      add("key_withdrawn_service_up", keys);
    }

    private Ticket limits(long number) {
      return SampleTickets.limits(
          number, SampleTickets.CORDIALS, RATE_STEP * number, RATE_STEP * number);
    }

    private double publish(Ticket ticket, boolean serviceDown) {
      Platform platform = fleet.fleet().platform();
      final long start = System.nanoTime();
      platform.publish(ticket);
      String inForce = "\"in_force\":" + ticket.number();
      Predicate<EntryHost> reached =
          host ->
              fleet
                  .calls()
                  .tryGet(host.administration(), "/tickets")
                  .filter(answer -> answer.body().contains(inForce))
                  .isPresent();
      if (serviceDown) {
        awaitRemaining(reached, fleet.hosts().size() - 1);
        platform.mode(CONFIGURATION, "down");
      }
      awaitRemaining(reached, 0);
      final double seconds = (System.nanoTime() - start) / NANOSECONDS_PER_SECOND;
      if (serviceDown) {
        platform.mode(CONFIGURATION, "up");
        Pause.of(Duration.ofSeconds(6));
      }
      return seconds;
    }

    private double revoke(String key) {
      publish(SampleTickets.issueKey(++lastNumber, key, SampleTickets.CORDIALS), false);
      long start = System.nanoTime();
      fleet.fleet().platform().publish(SampleTickets.revokeKey(++lastNumber, key));
      awaitRemaining(
          host ->
              fleet.calls().call("GET", host.callers(), "/v1/models", key, "").statusCode()
                  == UNAUTHORIZED,
          0);
      return (System.nanoTime() - start) / NANOSECONDS_PER_SECOND;
    }

    private void awaitRemaining(Predicate<EntryHost> reached, int allowed) {
      List<EntryHost> remaining = new ArrayList<>(fleet.hosts());
      long end = System.nanoTime() + TIMEOUT.toNanos();
      while (true) {
        remaining.removeIf(reached);
        if (remaining.size() <= allowed) {
          return;
        }
        if (System.nanoTime() > end) {
          throw new FleetException("not in force on " + remaining.size() + " hosts in time");
        }
        Pause.of(POLL_INTERVAL);
      }
    }

    private void add(String change, List<Double> seconds) {
      report.add(
          Figures.of("seconds_to_force_on_last_host")
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
