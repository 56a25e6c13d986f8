package org.parsleyhead.integration.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.parsleyhead.core.ticket.Ticket;

/** Fleets of usual shapes. Stateless and thread-safe. */
public final class Fleets {

  private static final int ENDPOINTS_PER_HOST = 3;
  private static final int FAILURE_DOMAINS = 3;

  private Fleets() {}

  /** Returns the root of the project: the folder that holds the launchers. */
  public static Path projectRoot() {
    Path folder = Path.of("").toAbsolutePath();
    while (!folder.resolve("bin/parsleyhead-entry").toFile().exists()) {
      folder = folder.getParent();
      if (folder == null) {
        throw new FleetException("the root of the project is not above the current folder");
      }
    }
    return folder;
  }

  /** Returns entry hosts on free ports, spread over three failure domains. */
  public static List<EntryHost> hosts(int count) {
    List<String> ports = Ports.free(ENDPOINTS_PER_HOST * count);
    List<EntryHost> hosts = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      int first = ENDPOINTS_PER_HOST * index;
      hosts.add(
          new EntryHost(
              "entry-" + (index + 1),
              "domain-" + (index % FAILURE_DOMAINS + 1),
              ports.get(first),
              ports.get(first + 1),
              ports.get(first + 1),
              ports.get(first + 2)));
    }
    return hosts;
  }

  /** Starts stand-ins and hosts, publishes the list and the first ticket, and waits for all. */
  public static LocalFleet start(
      Path directory, StandinLayout layout, int hostCount, Map<String, String> extraSettings) {
    return start(directory, layout, hostCount, extraSettings, SampleTickets.first(layout));
  }

  /** Starts stand-ins and hosts with a first ticket of one's own, and waits for all. */
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
      fleet.platform().publish(firstTicket);
      fleet.platform().publishHosts(1, fleet.hosts(), List.of());
      fleet.hosts().forEach(fleet::startEntry);
      fleet.hosts().forEach(fleet::awaitReady);
      return fleet;
    } catch (FleetException exception) {
      fleet.close();
      throw exception;
    }
  }
}
