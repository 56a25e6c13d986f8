package org.parsleyhead.integration.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.HttpCalls;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.StandinLayout;

/**
 * A fleet under measurement, its hosts in cells of a size.
 *
 * <p>Confined to one thread. Closing ends every process that was started, also at the end of this
 * process.
 */
final class MeasuredFleet implements AutoCloseable {

  private static final String JAVA_OPTIONS = "PARSLEYHEAD_JAVA_OPTIONS";
  private static final int NO_CONTENT = 204;

  private final LocalFleet fleet;
  private final HttpCalls calls = new HttpCalls();

  private MeasuredFleet(LocalFleet fleet) {
    this.fleet = fleet;
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "stop-processes"));
  }

  /**
   * Starts stand-ins and hosts, publishes the list and the tickets, and waits for all.
   *
   * @param directory where settings and logs go
   * @param layout the stand-ins
   * @param hostCount how many entry hosts there are
   * @param cellSize how many of them form a cell
   * @param settings further settings of each entry host
   * @param javaOptions options of the virtual machine of each entry host
   * @param tickets what is declared
   */
  static MeasuredFleet start(
      Path directory,
      StandinLayout layout,
      int hostCount,
      int cellSize,
      Map<String, String> settings,
      String javaOptions,
      List<Ticket> tickets) {
    MeasuredFleet measured =
        new MeasuredFleet(
            new LocalFleet(
                Fleets.projectRoot(), directory, layout, Fleets.hosts(hostCount), settings));
    try {
      measured.startAll(cellSize, javaOptions, tickets);
      return measured;
    } catch (FleetException exception) {
      measured.close();
      throw exception;
    }
  }

  private void startAll(int cellSize, String javaOptions, List<Ticket> tickets) {
    fleet.startStandins();
    tickets.forEach(fleet.platform()::publish);
    publishHosts(cellSize);
    fleet.hosts().forEach(host -> fleet.startEntry(host, Map.of(JAVA_OPTIONS, javaOptions)));
    fleet.hosts().forEach(fleet::awaitReady);
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, tickets.size()));
  }

  private void publishHosts(int cellSize) {
    List<EntryHost> hosts = fleet.hosts();
    String listed =
        hosts.stream()
            .map(host -> listed(host, hosts.indexOf(host) / cellSize + 1))
            .collect(Collectors.joining(","));
    String document = "{\"version\":1,\"hosts\":[" + listed + "],\"upstreams\":[]}";
    int status =
        calls
            .call("PUT", fleet.layout().administration(), "/admin/hosts", Map.of(), document)
            .statusCode();
    if (status != NO_CONTENT) {
      throw new FleetException("the host list was refused with " + status);
    }
  }

  private static String listed(EntryHost host, int cell) {
    return "{\"name\":\""
        + host.name()
        + "\",\"peer_endpoint\":\""
        + host.publishedPeers()
        + "\",\"region\":\"region-1\",\"failure_domain\":\""
        + host.failureDomain()
        + "\","
        + "\"cell\":\"cell-"
        + cell
        + "\""
        + ",\"state\":\"live\"}";
  }

  /** Returns the fleet. */
  LocalFleet fleet() {
    return fleet;
  }

  /** Returns the entry hosts. */
  List<EntryHost> hosts() {
    return fleet.hosts();
  }

  /** Reads the metrics of each host. */
  List<HostSample> samples() {
    return fleet.hosts().stream().map(host -> HostSample.of(calls, host)).toList();
  }

  /** Returns a caller for this fleet. */
  HttpCalls calls() {
    return calls;
  }

  /** Forgets the ledger of the stand-ins. */
  void clearLedger() {
    calls.call("DELETE", fleet.layout().administration(), "/admin/ledger", Map.of(), "");
  }

  /** Returns a new folder for the files of an experiment. */
  static Path workFolder(MeasureOptions options, String name) {
    try {
      Path parent = options.folder("work").orElse(Path.of(System.getProperty("java.io.tmpdir")));
      Files.createDirectories(parent);
      return Files.createTempDirectory(parent, "parsleyhead-measure-" + name + "-");
    } catch (IOException exception) {
      throw new FleetException("cannot create a folder", exception);
    }
  }

  @Override
  public void close() {
    fleet.close();
  }
}
