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
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.integration.fleet.ProgramProcess;
import org.parsleyhead.platform.standin.PublishedDocuments;
import org.parsleyhead.platform.standin.RunLedger;
import org.parsleyhead.platform.standin.ServerStandin;
import org.parsleyhead.platform.standin.StoreStandin;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.standin.proxy.FaultProxy;
import org.parsleyhead.standin.proxy.ProxyFault;

/**
 * Real gateway processes before stand-ins of the platform, with a proxy on each path to the store
 * and to the servers.
 *
 * <p>Thread-safe. It stops only the processes that it started.
 */
final class SoakFleet implements AutoCloseable {

  private static final Duration STOP_LIMIT = Duration.ofSeconds(12);
  private static final int PLAIN_SERVERS = 2;

  private final Path root = Path.of("..").toAbsolutePath().normalize();
  private final Path directory;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final SoakPorts ports = new SoakPorts();
  private final RunLedger ledger = new RunLedger();
  private final StoreStandin store;
  private final List<Host> hosts = new ArrayList<>();
  private final Map<String, Server> servers = new HashMap<>();
  private final Map<String, String> accounts = new HashMap<>();
  private long catalogueVersion;
  private int serverNumber;

  SoakFleet(Path directory, int hostCount, int engineCount) {
    this.directory = directory;
    Endpoint storeAt = Endpoint.parse(ports.take(1).get(0));
    this.store = new StoreStandin(group, storeAt);
    for (int index = 0; index < PLAIN_SERVERS + engineCount; index++) {
      addServer(index >= PLAIN_SERVERS);
    }
    issueKey("key-0", "account-0");
    List<String> seeds = new ArrayList<>();
    List<List<String>> ofHosts = new ArrayList<>();
    for (int index = 0; index < hostCount; index++) {
      List<String> free = ports.take(4);
      ofHosts.add(free);
      if (index < 3) {
        seeds.add(free.get(2));
      }
    }
    for (int index = 0; index < hostCount; index++) {
      hosts.add(new Host("host-" + index, ofHosts.get(index), seeds, storeAt));
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

  /** Adds a server. */
  synchronized void addServer(boolean engine) {
    List<String> free = ports.take(2);
    ServerStandin standin =
        new ServerStandin(
            group, Endpoint.parse(free.get(0)), "i-" + serverNumber++, engine, ledger);
    FaultProxy proxy =
        new FaultProxy(
            standin.identifier(),
            Endpoint.parse(free.get(1)),
            Endpoint.parse(free.get(0)),
            ProxyFault.NONE,
            group,
            MonotonicClock.SYSTEM);
    proxy.open();
    Server server = new Server(standin, proxy);
    servers.put(standin.identifier(), server);
    announce(server, false, 1);
  }

  /** Has a server say that it leaves. */
  synchronized void drain(Server server) {
    announce(server, true, 2);
  }

  /** Takes a server away. */
  synchronized void remove(Server server) {
    String identifier = server.standin().identifier();
    servers.remove(identifier);
    store.write(PublishedDocuments.announcementKey(identifier), Optional.empty());
    server.proxy().close();
    server.standin().close();
  }

  @Override
  public void close() {
    hosts.forEach(Host::close);
    servers().forEach(server -> server.proxy().close());
    servers().forEach(server -> server.standin().close());
    store.close();
    group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  private void announce(Server server, boolean leaving, long number) {
    store.write(
        PublishedDocuments.announcementKey(server.standin().identifier()),
        Optional.of(
            PublishedDocuments.announcement(
                server.standin(), server.proxy().endpoint(), leaving, number)));
  }

  private void publishCatalogue() {
    catalogueVersion += 3;
    store.write(
        PublishedDocuments.CATALOGUE_KEY,
        Optional.of(PublishedDocuments.catalogue(catalogueVersion, accounts)));
  }

  /** A server behind its proxy. Immutable and thread-safe. */
  record Server(ServerStandin standin, FaultProxy proxy) {}

  /**
   * A gateway process with its own path to the store.
   *
   * <p>Thread-safe; one fault at a time is put on it.
   */
  final class Host {

    private final String name;
    private final List<String> own;
    private final List<String> seeds;
    private final FaultProxy storeProxy;
    private final List<long[]> disturbances = new ArrayList<>();
    private ProgramProcess process;
    private int starts;

    Host(String name, List<String> own, List<String> seeds, Endpoint storeAt) {
      this.name = name;
      this.own = own;
      this.seeds = seeds;
      this.storeProxy =
          new FaultProxy(
              name,
              Endpoint.parse(ports.take(1).get(0)),
              storeAt,
              ProxyFault.NONE,
              group,
              MonotonicClock.SYSTEM);
      storeProxy.open();
    }

    String name() {
      return name;
    }

    Endpoint callers() {
      return Endpoint.parse(own.get(0));
    }

    FaultProxy storeProxy() {
      return storeProxy;
    }

    /** Notes that something is done to this host from now on. */
    synchronized void disturbed() {
      disturbances.add(new long[] {System.nanoTime(), Long.MAX_VALUE});
    }

    /** Notes that what was done is over. */
    synchronized void calm() {
      disturbances.get(disturbances.size() - 1)[1] = System.nanoTime();
    }

    /** Tells whether nothing was done to this host within a span. */
    synchronized boolean undisturbed(long from, long until) {
      return disturbances.stream().noneMatch(span -> span[0] <= until && span[1] >= from);
    }

    synchronized void start(boolean first) {
      process =
          ProgramProcess.start(
              root,
              "parsleyhead-gateway",
              name + "-" + ++starts,
              settings(first),
              directory,
              List.of(),
              Map.of("PARSLEYHEAD_JAVA_OPTIONS", "-Xmx96m -Xss256k -XX:+UseSerialGC"));
    }

    synchronized void signal(String signal) {
      process.signal(signal);
    }

    synchronized void kill() {
      process.kill();
    }

    /** Stops the process as planned and returns its exit status. */
    synchronized int terminate() {
      return process.terminate(STOP_LIMIT);
    }

    synchronized String output() {
      return process.output();
    }

    void close() {
      process.close();
      storeProxy.close();
    }

    private Path settings(boolean first) {
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
                  own.get(0),
                  own.get(1),
                  own.get(2),
                  String.join("\", \"", seeds),
                  first,
                  own.get(3),
                  storeProxy.endpoint());
      try {
        return Files.writeString(directory.resolve(name + ".toml"), text);
      } catch (IOException exception) {
        throw new UncheckedIOException(exception);
      }
    }
  }
}
