package org.parsleyhead.integration.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.parsleyhead.core.ticket.Ticket;

/** Starts fleets with default endpoints and tickets. Stateless and thread-safe. */
public final class Fleets {

  private static final int ENDPOINTS_PER_HOST = 3;
  private static final int FAILURE_DOMAIN_COUNT = 3;

  private Fleets() {}

  /** Returns the project root, the directory that contains the launchers in {@code bin}. */
  public static Path projectRoot() {
    Path candidate = Path.of("").toAbsolutePath();
    while (!candidate.resolve("bin/parsleyhead-entry").toFile().exists()) {
      candidate = candidate.getParent();
      if (candidate == null) {
        throw new FleetException("no project root at or above the current directory");
      }
    }
    return candidate;
  }

  /** Returns entry hosts on free ports, distributed over three failure domains. */
  public static List<EntryHost> hosts(int count) {
    List<String> ports = Ports.allocate(ENDPOINTS_PER_HOST * count);
    List<EntryHost> hosts = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      int first = ENDPOINTS_PER_HOST * index;
      hosts.add(
          new EntryHost(
              "entry-" + (index + 1),
              "domain-" + (index % FAILURE_DOMAIN_COUNT + 1),
              ports.get(first),
              ports.get(first + 1),
              ports.get(first + 1),
              ports.get(first + 2)));
    }
    return hosts;
  }

  /**
   * Starts stand-ins and entry hosts with the sample ticket and waits until all hosts are ready.
   *
   * @throws FleetException if a process does not become ready; all processes are killed before
   */
  public static LocalFleet start(
      Path directory, StandinLayout layout, int hostCount, Map<String, String> extraSettings) {
    return start(directory, layout, hostCount, extraSettings, SampleTickets.first(layout));
  }

  /**
   * Starts stand-ins and entry hosts with a given first ticket and waits until all hosts are ready.
   *
   * @throws FleetException if a process does not become ready; all processes are killed before
   */
  public static LocalFleet start(
      Path directory,
      StandinLayout layout,
      int hostCount,
      Map<String, String> extraSettings,
      Ticket firstTicket) {
    LocalFleet fleet =
        new LocalFleet(projectRoot(), directory, layout, hosts(hostCount), extraSettings);
    try {
      fleet.startStandins();
      fleet.standins().publish(firstTicket);
      fleet.standins().publishHosts(1, fleet.hosts(), List.of());
      fleet.hosts().forEach(fleet::startEntry);
      fleet.hosts().forEach(fleet::awaitReady);
      return fleet;
    } catch (FleetException exception) {
      fleet.close();
      throw exception;
    }
  }
}
