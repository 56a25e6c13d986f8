package org.parsleyhead.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers that ask for adapters through the hosts in rotation, each request on a new connection.
 *
 * <p>Thread-safe. The balancer asks each host once a second and takes it out after two misses.
 */
final class Callers {

  private static final int DEADLINE_MILLISECONDS = 5_000;
  private static final int ADAPTERS = 200;

  private final List<HostProcess> hosts;
  private final Record record;
  private final Map<HostProcess, Integer> misses = new HashMap<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final AtomicLong numbers = new AtomicLong();
  private volatile boolean stopped;

  Callers(List<HostProcess> hosts, Record record) {
    this.hosts = List.copyOf(hosts);
    this.record = record;
  }

  void start(int count, long seed) {
    Threads.start("balancer", this::poll);
    for (int number = 0; number < count; number++) {
      Random random = new Random(seed + number);
      Threads.start("caller", () -> ask(random));
    }
  }

  void stop() {
    stopped = true;
  }

  /** Returns how many requests ended in which way. */
  synchronized Map<String, Integer> outcomes() {
    return new TreeMap<>(outcomes);
  }

  private void poll() throws InterruptedException {
    while (!stopped) {
      for (HostProcess host : hosts) {
        boolean ready = host.ready();
        synchronized (this) {
          misses.put(host, ready ? 0 : misses.getOrDefault(host, 0) + 1);
        }
      }
      Thread.sleep(1_000);
    }
  }

  private synchronized List<HostProcess> rotation() {
    List<HostProcess> rotation = new ArrayList<>();
    for (HostProcess host : hosts) {
      if (misses.getOrDefault(host, 2) < 2) {
        rotation.add(host);
      }
    }
    return rotation;
  }

  private void ask(Random random) throws InterruptedException {
    while (!stopped) {
      List<HostProcess> rotation = rotation();
      if (rotation.isEmpty()) {
        Thread.sleep(100);
        continue;
      }
      HostProcess host = rotation.get(random.nextInt(rotation.size()));
      String outcome = send(host, "a" + (1 + random.nextInt(ADAPTERS)));
      synchronized (this) {
        outcomes.merge(outcome, 1, Integer::sum);
      }
      Thread.sleep(50 + random.nextInt(200));
    }
  }

  private String send(HostProcess host, String adapter) {
    String id = String.format("%016x", numbers.incrementAndGet());
    String outcome;
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), host.front())) {
      socket.setSoTimeout(DEADLINE_MILLISECONDS + 1_000);
      socket
          .getOutputStream()
          .write(
              ("POST /chat/x HTTP/1.1\r\nHost: desk.example\r\nX-Parsleyhead-Request-Id: "
                      + id
                      + "\r\nX-Parsleyhead-Model: "
                      + ModelServer.MODEL
                      + "/"
                      + adapter
                      + "\r\nX-Parsleyhead-Token-Count: 60,40\r\nX-Parsleyhead-Deadline-Ms: "
                      + DEADLINE_MILLISECONDS
                      + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
                  .getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
      outcome = answer == null ? "closed" : Integer.toString(answer.status());
    } catch (IOException | RuntimeException exception) {
      outcome = "broken";
    }
    record.write("request %s for %s at %s: %s", id, adapter, host.name(), outcome);
    return outcome;
  }
}
