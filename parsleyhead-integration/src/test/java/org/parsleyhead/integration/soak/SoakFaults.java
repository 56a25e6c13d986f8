package org.parsleyhead.integration.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.standin.proxy.DirectionFault;
import org.parsleyhead.standin.proxy.FaultProxy;
import org.parsleyhead.standin.proxy.ProxyFault;

/**
 * Faults from outside the processes, drawn from a seed. Several go on at a time, each on a host or
 * server of its own.
 *
 * <p>Confined to one thread; the faults run on threads of their own.
 */
final class SoakFaults {

  private static final int AT_A_TIME = 3;
  private static final int MINIMUM_MILLISECONDS = 300;
  private static final int MAXIMUM_MILLISECONDS = 4_000;

  private final SoakFleet fleet;
  private final Random random;
  private final Map<String, Integer> counts = new TreeMap<>();
  private final List<SoakFleet.Host> freeHosts;
  private final List<String> serversUnderFault = new ArrayList<>();
  private final List<Integer> exitStatuses = new ArrayList<>();
  private int keys;

  SoakFaults(SoakFleet fleet, long seed) {
    this.fleet = fleet;
    this.random = new Random(seed);
    this.freeHosts = new ArrayList<>(fleet.hosts());
  }

  /** Returns how often each kind of fault was put in force. */
  synchronized Map<String, Integer> counts() {
    return Map.copyOf(counts);
  }

  /** Returns the exit statuses of all planned stops. */
  synchronized List<Integer> exitStatuses() {
    return List.copyOf(exitStatuses);
  }

  /** Puts faults in force for a while, and returns when all are over. */
  void run(Duration duration) throws InterruptedException {
    ExecutorService executor = Executors.newFixedThreadPool(AT_A_TIME);
    long end = System.nanoTime() + duration.toNanos();
    for (int worker = 0; worker < AT_A_TIME; worker++) {
      executor.execute(
          () -> {
            while (System.nanoTime() < end) {
              one();
              pause(draw(MINIMUM_MILLISECONDS));
            }
          });
    }
    executor.shutdown();
    executor.awaitTermination(duration.toSeconds() + 60, TimeUnit.SECONDS);
  }

  private void one() {
    switch (draw(10)) {
      case 0, 1 -> onHost("pause", host -> paused(host, span()));
      case 2 -> onHost("kill", this::killed);
      case 3 -> onHost("terminate", this::terminated);
      case 4 -> onHost("store_cut", host -> storeFaulty(host, ProxyFault.CUT));
      case 5 -> onHost("store_fault", host -> storeFaulty(host, drawFault()));
      case 6, 7 -> onServer("server_fault", server -> faulty(server.proxy(), drawFault()));
      case 8 -> onServer("server_leaves", this::leaves);
      default -> keyChange();
    }
  }

  private synchronized int draw(int bound) {
    return random.nextInt(bound);
  }

  private Duration span() {
    return Duration.ofMillis(
        MINIMUM_MILLISECONDS + draw(MAXIMUM_MILLISECONDS - MINIMUM_MILLISECONDS));
  }

  private ProxyFault drawFault() {
    return switch (draw(5)) {
      case 0 -> ProxyFault.SILENCE_OPEN;
      case 1 ->
          ProxyFault.on(
              ProxyFault.Scope.ALL,
              DirectionFault.delayed(Duration.ofMillis(200)),
              DirectionFault.NONE);
      case 2 ->
          ProxyFault.on(
              ProxyFault.Scope.ALL, DirectionFault.NONE, DirectionFault.resetAfter(draw(2_000)));
      case 3 -> ProxyFault.on(ProxyFault.Scope.ALL, DirectionFault.hold(), DirectionFault.NONE);
      default -> ProxyFault.on(ProxyFault.Scope.ALL, DirectionFault.NONE, DirectionFault.hold());
    };
  }

  private void faulty(FaultProxy proxy, ProxyFault fault) {
    proxy.switchTo(fault);
    pause(span().toMillis());
    proxy.switchTo(ProxyFault.NONE);
  }

  private void storeFaulty(SoakFleet.Host host, ProxyFault fault) {
    host.disturbed();
    faulty(host.storeProxy(), fault);
    host.calm();
  }

  private static void paused(SoakFleet.Host host, Duration duration) {
    host.disturbed();
    host.signal("STOP");
    pause(duration.toMillis());
    host.signal("CONT");
    host.calm();
  }

  private void killed(SoakFleet.Host host) {
    host.disturbed();
    host.kill();
    pause(draw(1_500));
    host.start(false);
    pause(2_000);
    host.calm();
  }

  private void terminated(SoakFleet.Host host) {
    int status = host.terminate();
    host.disturbed();
    synchronized (this) {
      exitStatuses.add(status);
    }
    pause(draw(1_000));
    host.start(false);
    pause(2_000);
    host.calm();
  }

  private void leaves(SoakFleet.Server server) {
    fleet.addServer(server.standin().engine());
    pause(1_000);
    fleet.drain(server);
    pause(3_500);
    fleet.remove(server);
  }

  private void keyChange() {
    int number;
    synchronized (this) {
      number = ++keys;
      counts.merge("key_change", 1, Integer::sum);
    }
    fleet.issueKey("key-" + number, "account-" + number);
    pause(1_000);
    fleet.revokeKey("key-" + number);
  }

  private void onHost(String kind, java.util.function.Consumer<SoakFleet.Host> fault) {
    SoakFleet.Host host;
    synchronized (this) {
      if (freeHosts.size() <= 1) {
        return;
      }
      host = freeHosts.remove(random.nextInt(freeHosts.size()));
      counts.merge(kind, 1, Integer::sum);
    }
    fault.accept(host);
    synchronized (this) {
      freeHosts.add(host);
    }
  }

  private void onServer(String kind, java.util.function.Consumer<SoakFleet.Server> fault) {
    SoakFleet.Server server;
    synchronized (this) {
      List<SoakFleet.Server> candidates =
          fleet.servers().stream()
              .filter(known -> !serversUnderFault.contains(known.standin().identifier()))
              .toList();
      server = candidates.get(random.nextInt(candidates.size()));
      serversUnderFault.add(server.standin().identifier());
      counts.merge(kind, 1, Integer::sum);
    }
    fault.accept(server);
    synchronized (this) {
      serversUnderFault.remove(server.standin().identifier());
    }
  }

  private static void pause(long milliseconds) {
    try {
      new CountDownLatch(1).await(milliseconds, TimeUnit.MILLISECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
