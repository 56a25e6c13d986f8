package org.parsleyhead.integration.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.Ports;
import org.parsleyhead.integration.fleet.ProgramProcess;
import org.parsleyhead.platform.standin.PublishedDocuments;
import org.parsleyhead.platform.standin.RunLedger;
import org.parsleyhead.platform.standin.ServerStandin;
import org.parsleyhead.platform.standin.SilencePlan;
import org.parsleyhead.platform.standin.StoreStandin;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.standin.proxy.FaultProxy;
import org.parsleyhead.standin.proxy.ProxyFault;

/**
 * Gateway processes in front of stand-ins for the platform, with a fault proxy on each path to the
 * store and to the servers.
 *
 * <p>Thread-safe. Stops only the processes that it started.
 */
final class SoakFleet implements AutoCloseable {

  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(12);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final long START_CHECK_MILLISECONDS = 50;
  private static final int PLAIN_SERVERS = 2;
  private static final Pattern SENT_REQUEST = Pattern.compile("event=sent request=(\\S+)");

  private final Path root = Path.of("..").toAbsolutePath().normalize();
  private final Path directory;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final RunLedger ledger = new RunLedger();
  private final StoreStandin store;
  private final List<Host> hosts = new ArrayList<>();
  private final Map<String, Server> servers = new HashMap<>();
  private final Map<String, String> accounts = new HashMap<>();
  private final Map<String, Optional<String>> written = new HashMap<>();
  private Supplier<SilencePlan> silences = () -> SilencePlan.NONE;
  private Duration streamTimeout = PublishedDocuments.STREAM_TIMEOUT;
  private long catalogueVersion;
  private int nextServerNumber;

  SoakFleet(Path directory, int hostCount, int engineCount) {
    this.directory = directory;
    Endpoint storeEndpoint = Endpoint.parse(Ports.allocate(1).get(0));
    this.store = new StoreStandin(group, storeEndpoint);
    for (int index = 0; index < PLAIN_SERVERS + engineCount; index++) {
      addServer(index >= PLAIN_SERVERS);
    }
    issueKey("key-0", "account-0");
    List<String> seeds = new ArrayList<>();
    List<List<String>> hostEndpoints = new ArrayList<>();
    for (int index = 0; index < hostCount; index++) {
      List<String> allocated = Ports.allocate(4);
      hostEndpoints.add(allocated);
      if (index < 3) {
        seeds.add(allocated.get(2));
      }
    }
    for (int index = 0; index < hostCount; index++) {
      hosts.add(new Host("host-" + index, hostEndpoints.get(index), seeds, storeEndpoint));
    }
    hosts.forEach(host -> host.start(true));
  }

  RunLedger ledger() {
    return ledger;
  }

  List<Host> hosts() {
    return hosts;
  }

  synchronized List<Server> servers() {
    return List.copyOf(servers.values());
  }

  synchronized void issueKey(String key, String account) {
    accounts.put(key, account);
    publishCatalogue();
  }

  synchronized void revokeKey(String key) {
    accounts.remove(key);
    publishCatalogue();
  }

  /** Changes the time limit of the streaming route. */
  synchronized void changeStreamTimeout(Duration timeout) {
    streamTimeout = timeout;
    publishCatalogue();
  }

  /** Sets where servers fall silent while they answer, also those that are added later. */
  synchronized void fallSilentWhileAnswering(Supplier<SilencePlan> plans) {
    silences = plans;
    servers.values().forEach(server -> server.standin().fallSilentWhileAnswering(plans));
  }

  /** Starts a server behind a proxy and announces it. */
  synchronized void addServer(boolean engine) {
    addServer(engine, PublishedDocuments.NEAR);
  }

  /** Starts a server of a failure domain behind a proxy and announces it. */
  synchronized Server addServer(boolean engine, String domain) {
    List<String> allocated = Ports.allocate(2);
    ServerStandin standin =
        new ServerStandin(
            group, Endpoint.parse(allocated.get(0)), "i-" + nextServerNumber++, engine, ledger);
    standin.fallSilentWhileAnswering(silences);
    FaultProxy proxy =
        new FaultProxy(
            standin.identifier(),
            Endpoint.parse(allocated.get(1)),
            Endpoint.parse(allocated.get(0)),
            ProxyFault.NONE,
            group,
            MonotonicClock.SYSTEM);
    proxy.open();
    Server server = new Server(standin, proxy, domain);
    servers.put(standin.identifier(), server);
    publishAnnouncement(server, false, 1);
    return server;
  }

  /** Requests or revokes the evacuation of a failure domain. */
  void evacuate(String domain, boolean evacuated) {
    store.write(
        PublishedDocuments.evacuationKey(domain), evacuated ? Optional.of("{}") : Optional.empty());
  }

  /** Announces that a server is leaving. */
  synchronized void announceLeaving(Server server) {
    publishAnnouncement(server, true, 2);
  }

  /** Deletes the announcement of a server and closes the server and its proxy. */
  synchronized void removeServer(Server server) {
    String identifier = server.standin().identifier();
    servers.remove(identifier);
    write(PublishedDocuments.announcementKey(identifier), Optional.empty());
    server.proxy().close();
    server.standin().close();
  }

  /** Restores the store from a copy of some seconds ago. */
  synchronized void rollBackStore(double seconds) {
    store.rollBack(seconds);
  }

  /** Writes all items again as the operators and servers wrote them last, deletions included. */
  synchronized void writeAgain() {
    written.forEach(store::write);
  }

  private void write(String key, Optional<String> value) {
    written.put(key, value);
    store.write(key, value);
  }

  @Override
  public void close() {
    hosts.forEach(Host::close);
    servers().forEach(server -> server.proxy().close());
    servers().forEach(server -> server.standin().close());
    store.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void publishAnnouncement(Server server, boolean leaving, long number) {
    write(
        PublishedDocuments.announcementKey(server.standin().identifier()),
        Optional.of(
            PublishedDocuments.announcement(
                server.standin(), server.proxy().endpoint(), server.domain(), leaving, number)));
  }

  private void publishCatalogue() {
    catalogueVersion += 3;
    write(
        PublishedDocuments.CATALOGUE_KEY,
        Optional.of(PublishedDocuments.catalogue(catalogueVersion, accounts, streamTimeout)));
  }

  /** A server behind its proxy. Immutable and thread-safe. */
  record Server(ServerStandin standin, FaultProxy proxy, String domain) {}

  /**
   * A gateway host: its current process, which can be restarted, and its own path to the store.
   *
   * <p>Thread-safe. At most one fault is injected into a host at a time; signals that change
   * nothing may come beside it.
   */
  final class Host {

    private final String name;
    private final List<String> endpoints;
    private final List<String> seeds;
    private final FaultProxy storeProxy;
    private final List<long[]> disturbances = new ArrayList<>();
    private final List<HostHistory.Stop> stops = new ArrayList<>();
    private final List<HostHistory.Period> interruptions = new ArrayList<>();
    private final List<ProgramProcess> processes = new ArrayList<>();
    private ProgramProcess process;

    Host(String name, List<String> endpoints, List<String> seeds, Endpoint storeEndpoint) {
      this.name = name;
      this.endpoints = endpoints;
      this.seeds = seeds;
      this.storeProxy =
          new FaultProxy(
              name,
              Endpoint.parse(Ports.allocate(1).get(0)),
              storeEndpoint,
              ProxyFault.NONE,
              group,
              MonotonicClock.SYSTEM);
      storeProxy.open();
    }

    String name() {
      return name;
    }

    Endpoint callerEndpoint() {
      return Endpoint.parse(endpoints.get(0));
    }

    FaultProxy storeProxy() {
      return storeProxy;
    }

    /** Records the start of a disturbance of this host. */
    synchronized void beginDisturbance() {
      disturbances.add(new long[] {System.nanoTime(), Long.MAX_VALUE});
    }

    /** Records the end of the last disturbance. */
    synchronized void endDisturbance() {
      disturbances.get(disturbances.size() - 1)[1] = System.nanoTime();
    }

    /**
     * Returns whether no disturbance of this host overlaps a period.
     *
     * @param from the start of the period, by {@link System#nanoTime()}
     * @param until the end of the period, by {@link System#nanoTime()}
     */
    synchronized boolean wasUndisturbed(long from, long until) {
      return disturbances.stream().noneMatch(period -> period[0] <= until && period[1] >= from);
    }

    synchronized void start(boolean firstStart) {
      process =
          ProgramProcess.start(
              root,
              "parsleyhead-gateway",
              name + "-" + (processes.size() + 1),
              writeSettings(firstStart),
              directory,
              List.of(),
              Map.of("PARSLEYHEAD_JAVA_OPTIONS", "-Xmx96m -Xss256k -XX:+UseSerialGC"));
      processes.add(process);
    }

    /** Waits until the process logs that its ports are open. */
    void awaitStarted() {
      long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
      while (!output().contains("event=started")) {
        if (System.nanoTime() > deadline) {
          throw new IllegalStateException(name + " did not start in time");
        }
        try {
          TimeUnit.MILLISECONDS.sleep(START_CHECK_MILLISECONDS);
        } catch (InterruptedException exception) {
          Thread.currentThread().interrupt();
          return;
        }
      }
    }

    void signal(String signal) {
      current().signal(signal);
    }

    /** Sends a signal, unless the process has not logged that it started or is gone. */
    void signalIfStarted(String signal) {
      ProgramProcess target = current();
      try {
        if (target.isAlive() && target.output().contains("event=started")) {
          target.signal(signal);
        }
      } catch (FleetException exception) {
        if (target.isAlive()) {
          throw exception;
        }
      }
    }

    void kill() {
      current().kill();
    }

    /** Requests a planned stop of the process and returns its exit status. */
    int terminate() {
      long signalledAt = System.nanoTime();
      int status = current().terminate(STOP_TIMEOUT);
      synchronized (this) {
        stops.add(new HostHistory.Stop(signalledAt, System.nanoTime()));
      }
      return status;
    }

    String output() {
      return current().output();
    }

    /** Runs an action during which the process is paused or not there. */
    void interruptedDuring(Runnable action) {
      long from = System.nanoTime();
      action.run();
      synchronized (this) {
        interruptions.add(new HostHistory.Period(from, System.nanoTime()));
      }
    }

    /** Returns what happened to this host, and what the logs of its processes say. */
    synchronized HostHistory history() {
      Set<String> sent =
          processes.stream()
              .flatMap(each -> each.output().lines())
              .map(SENT_REQUEST::matcher)
              .filter(Matcher::find)
              .map(matcher -> matcher.group(1))
              .collect(Collectors.toSet());
      return new HostHistory(callerEndpoint(), stops, interruptions, sent);
    }

    private synchronized ProgramProcess current() {
      return process;
    }

    void close() {
      process.close();
      storeProxy.close();
    }

    private Path writeSettings(boolean firstStart) {
      String text =
          """
          [host]
          name = "%s"
          failure_domain = "near"
          [callers]
          endpoint = "%s"
          [readiness]
          endpoint = "%s"
          [peers]
          endpoint = "%s"
          seeds = ["%s"]
          first_start = %s
          [metrics]
          endpoint = "%s"
          [publication]
          endpoint = "%s"
          [retries]
          burst = 50.0
          """
              .formatted(
                  name,
                  endpoints.get(0),
                  endpoints.get(1),
                  endpoints.get(2),
                  String.join("\", \"", seeds),
                  firstStart,
                  endpoints.get(3),
                  storeProxy.endpoint());
      try {
        return Files.writeString(directory.resolve(name + ".toml"), text);
      } catch (IOException exception) {
        throw new UncheckedIOException(exception);
      }
    }
  }
}
