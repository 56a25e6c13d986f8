package org.parsleyhead.integration.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A process for all stand-ins and a process for each entry host, on the loopback address.
 *
 * <p>Confined to one thread. Closing kills the processes that are still running.
 */
public final class LocalFleet implements AutoCloseable {

  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final int STATUS_OK = 200;

  private final Path root;
  private final Path directory;
  private final StandinLayout layout;
  private final List<EntryHost> hosts;
  private final Map<String, String> extraSettings;
  private final FleetHttpClient client = new FleetHttpClient();
  private final Map<String, ProgramProcess> processes = new LinkedHashMap<>();

  /**
   * Creates a fleet without starting its processes.
   *
   * @param root the project root; the project must be built
   * @param directory the directory for settings and logs
   * @param layout the stand-ins
   * @param hosts the entry hosts
   * @param extraSettings further settings of each entry host by their paths, with values in TOML
   */
  public LocalFleet(
      Path root,
      Path directory,
      StandinLayout layout,
      List<EntryHost> hosts,
      Map<String, String> extraSettings) {
    this.root = root;
    this.directory = directory;
    this.layout = layout;
    this.hosts = List.copyOf(hosts);
    this.extraSettings = Map.copyOf(extraSettings);
  }

  /** Returns the layout of the stand-ins. */
  public StandinLayout layout() {
    return layout;
  }

  /** Returns the entry hosts. */
  public List<EntryHost> hosts() {
    return hosts;
  }

  /** Returns a new client for the administration endpoint of the stand-ins. */
  public StandinClient standins() {
    return new StandinClient(layout.administrationEndpoint());
  }

  /** Starts the stand-ins and waits until they are ready. */
  public void startStandins() {
    Path settings = write("standin.toml", layout.settings());
    ProgramProcess process =
        ProgramProcess.start(root, "parsleyhead-standin", "standin", settings, directory);
    processes.put("standin", process);
    FleetHttpClient.await(
        "the stand-ins to be ready", START_TIMEOUT, () -> process.output().contains("ready=true"));
  }

  /** Starts an entry host and returns its process. */
  public ProgramProcess startEntry(EntryHost host) {
    return startEntry(host, Map.of());
  }

  /** Starts an entry host with further environment variables and returns its process. */
  public ProgramProcess startEntry(EntryHost host, Map<String, String> environment) {
    Path settings =
        write(
            host.name() + ".toml",
            host.settings(
                layout.configurationEndpointFor(host), layout.hostListEndpoint(), extraSettings));
    ProgramProcess process =
        ProgramProcess.start(
            root, "parsleyhead-entry", host.name(), settings, directory, List.of(), environment);
    processes.put(host.name(), process);
    return process;
  }

  /** Returns the process of an entry host that was started last. */
  public ProgramProcess process(EntryHost host) {
    return processes.get(host.name());
  }

  /** Waits until an entry host reports that it is ready. */
  public void awaitReady(EntryHost host) {
    FleetHttpClient.await(host.name() + " to be ready", START_TIMEOUT, () -> isReady(host));
  }

  /** Returns whether an entry host reports that it is ready. */
  public boolean isReady(EntryHost host) {
    return client
        .tryGet(host.administrationEndpoint(), "/ready")
        .filter(response -> response.statusCode() == STATUS_OK)
        .isPresent();
  }

  /** Waits until a ticket is in force on an entry host. */
  public void awaitTicket(EntryHost host, long number) {
    FleetHttpClient.await(
        "ticket " + number + " to be in force on " + host.name(),
        START_TIMEOUT,
        () ->
            client
                .tryGet(host.administrationEndpoint(), "/tickets")
                .filter(response -> response.body().contains("\"in_force\":" + number))
                .isPresent());
  }

  /** Returns the last process of each entry host and of the stand-ins. */
  public List<ProgramProcess> processes() {
    return new ArrayList<>(processes.values());
  }

  @Override
  public void close() {
    processes.values().forEach(ProgramProcess::close);
  }

  private Path write(String name, String text) {
    try {
      Files.createDirectories(directory);
      return Files.writeString(directory.resolve(name), text);
    } catch (IOException exception) {
      throw new FleetException("cannot write " + name, exception);
    }
  }
}
