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
import org.parsleyhead.integration.fleet.FleetHttpClient;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.StandinLayout;

/**
 * A fleet for measurements, with its entry hosts in cells of a given size.
 *
 * <p>Confined to one thread. Closing kills the processes that are still running, as does the exit
 * of this process.
 */
final class MeasuredFleet implements AutoCloseable {

  private static final String JAVA_OPTIONS = "PARSLEYHEAD_JAVA_OPTIONS";
  private static final int NO_CONTENT = 204;

  private final LocalFleet fleet;
  private final FleetHttpClient client = new FleetHttpClient();

  private MeasuredFleet(LocalFleet fleet) {
    this.fleet = fleet;
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "stop-processes"));
  }

  /**
   * Starts stand-ins and entry hosts and waits until all hosts are ready and have applied the
   * tickets.
   *
   * @param directory the directory for settings and logs
   * @param layout the stand-ins
   * @param hostCount the number of entry hosts
   * @param cellSize the number of entry hosts in a cell
   * @param settings further settings of each entry host by their paths, with values in TOML
   * @param javaOptions the Java options of each entry host
   * @param tickets the tickets to publish, in order
   */
  static MeasuredFleet start(
      Path directory,
      StandinLayout layout,
      int hostCount,
      int cellSize,
      Map<String, String> settings,
      String javaOptions,
      List<Ticket> tickets) {
    MeasuredFleet measuredFleet =
        new MeasuredFleet(
            new LocalFleet(
                Fleets.projectRoot(), directory, layout, Fleets.hosts(hostCount), settings));
    try {
      measuredFleet.startAll(cellSize, javaOptions, tickets);
      return measuredFleet;
    } catch (FleetException exception) {
      measuredFleet.close();
      throw exception;
    }
  }

  private void startAll(int cellSize, String javaOptions, List<Ticket> tickets) {
    fleet.startStandins();
    tickets.forEach(fleet.standins()::publish);
    publishHosts(cellSize);
    fleet.hosts().forEach(host -> fleet.startEntry(host, Map.of(JAVA_OPTIONS, javaOptions)));
    fleet.hosts().forEach(fleet::awaitReady);
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, tickets.size()));
  }

  private void publishHosts(int cellSize) {
    List<EntryHost> hosts = fleet.hosts();
    String listed =
        hosts.stream()
            .map(host -> hostListEntry(host, hosts.indexOf(host) / cellSize + 1))
            .collect(Collectors.joining(","));
    String document = "{\"version\":1,\"hosts\":[" + listed + "],\"upstreams\":[]}";
    int status =
        client
            .call(
                "PUT", fleet.layout().administrationEndpoint(), "/admin/hosts", Map.of(), document)
            .statusCode();
    if (status != NO_CONTENT) {
      throw new FleetException("host list was refused with status " + status);
    }
  }

  private static String hostListEntry(EntryHost host, int cell) {
    return "{\"name\":\""
        + host.name()
        + "\",\"peer_endpoint\":\""
        + host.advertisedPeerEndpoint()
        + "\",\"region\":\"region-1\",\"failure_domain\":\""
        + host.failureDomain()
        + "\","
        + "\"cell\":\"cell-"
        + cell
        + "\""
        + ",\"state\":\"live\"}";
  }

  /** Returns the underlying fleet. */
  LocalFleet fleet() {
    return fleet;
  }

  /** Returns the entry hosts. */
  List<EntryHost> hosts() {
    return fleet.hosts();
  }

  /** Reads the metrics of each entry host. */
  List<HostSample> sampleMetrics() {
    return fleet.hosts().stream().map(host -> HostSample.read(client, host)).toList();
  }

  /** Returns a client for requests to this fleet. */
  FleetHttpClient client() {
    return client;
  }

  /** Clears the ledger of the stand-ins. */
  void clearLedger() {
    client.call("DELETE", fleet.layout().administrationEndpoint(), "/admin/ledger", Map.of(), "");
  }

  /** Creates a directory for the files of an experiment. */
  static Path workFolder(MeasureOptions options, String name) {
    try {
      Path parent = options.folder("work").orElse(Path.of(System.getProperty("java.io.tmpdir")));
      Files.createDirectories(parent);
      return Files.createTempDirectory(parent, "parsleyhead-measure-" + name + "-");
    } catch (IOException exception) {
      throw new FleetException("cannot create a work directory", exception);
    }
  }

  @Override
  public void close() {
    fleet.close();
  }
}
