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
 * Stand-ins and entry hosts, each a process of its own on loopback.
 *
 * <p>Confined to one thread. Closing ends every process that was started.
 */
public final class LocalFleet implements AutoCloseable {

  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final int STATUS_OK = 200;

  private final Path root;
  private final Path directory;
  private final StandinLayout layout;
  private final List<EntryHost> hosts;
  private final Map<String, String> extraSettings;
  private final HttpCalls calls = new HttpCalls();
  private final Map<String, ProgramProcess> processes = new LinkedHashMap<>();

  /**
   * Creates a fleet that is not started.
   *
   * @param root the root of the project, which is built
   * @param directory where settings and logs go
   * @param layout the stand-ins
   * @param hosts the entry hosts
   * @param extraSettings further settings of each entry host, by their paths, values in TOML
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

  /** Returns the stand-ins. */
  public StandinLayout layout() {
    return layout;
  }

  /** Returns the entry hosts. */
  public List<EntryHost> hosts() {
    return hosts;
  }

  /** Returns a publisher for the stand-ins. */
  public Platform platform() {
    return new Platform(layout.administration());
  }

  /** Starts the stand-ins and waits until they listen. */
  public void startStandins() {
    Path settings = write("standin.toml", layout.settings());
    ProgramProcess process =
        ProgramProcess.start(root, "parsleyhead-standin", "standin", settings, directory);
    processes.put("standin", process);
    HttpCalls.await("stand-ins", START_TIMEOUT, () -> process.output().contains("ready=true"));
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
            host.settings(layout.configurationFor(host), layout.hostList(), extraSettings));
    ProgramProcess process =
        ProgramProcess.start(
            root, "parsleyhead-entry", host.name(), settings, directory, List.of(), environment);
    processes.put(host.name(), process);
    return process;
  }

  /** Returns the last process of an entry host. */
  public ProgramProcess process(EntryHost host) {
    return processes.get(host.name());
  }

  /** Waits until an entry host says that it is ready. */
  public void awaitReady(EntryHost host) {
    HttpCalls.await(host.name() + " ready", START_TIMEOUT, () -> isReady(host));
  }

  /** Tells whether an entry host says that it is ready. */
  public boolean isReady(EntryHost host) {
    return calls
        .tryGet(host.administration(), "/ready")
        .filter(answer -> answer.statusCode() == STATUS_OK)
        .isPresent();
  }

  /** Waits until a ticket is in force on an entry host. */
  public void awaitTicket(EntryHost host, long number) {
    HttpCalls.await(
        "ticket " + number + " on " + host.name(),
        START_TIMEOUT,
        () ->
            calls
                .tryGet(host.administration(), "/tickets")
                .filter(answer -> answer.body().contains("\"in_force\":" + number))
                .isPresent());
  }

  /** Returns all processes. */
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
