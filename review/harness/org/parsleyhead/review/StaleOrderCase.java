package org.parsleyhead.review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * A model server is cut off from all machines for eight seconds, and the machine that gives it
 * orders is stopped as planned meanwhile. An order that was on its way when the link was cut
 * arrives after its end, behind the orders of the next holder.
 */
public final class StaleOrderCase {

  private static final String SERVICE = "engines";
  private static final double THAW_SLACK_SECONDS = 0.3;
  private static final double CUT_SECONDS = 8;
  private static final double LEASE_SECONDS = 3;

  private final boolean trouble;
  private final Record record;
  private final Path directory;
  private final List<HostProcess> hosts = new ArrayList<>();
  private final List<ModelServer> servers = new ArrayList<>();
  private final List<LinkProxy> links = new ArrayList<>();
  private final CountDownLatch orderHeldUp = new CountDownLatch(1);
  private volatile String heldOrder = "";

  private StaleOrderCase(boolean trouble, Record record, Path directory) {
    this.trouble = trouble;
    this.record = record;
    this.directory = directory;
  }

  /** Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run. */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(arguments[1]);
    int status = 2;
    try (WorkDirectory directory = WorkDirectory.create();
        Record record = new Record(Path.of(arguments[0], "record.txt"))) {
      StaleOrderCase playedCase = new StaleOrderCase(trouble, record, directory.path());
      Runtime.getRuntime()
          .addShutdownHook(new Thread(() -> playedCase.hosts.forEach(HostProcess::kill)));
      try {
        status = playedCase.play();
      } catch (IOException | IllegalStateException exception) {
        record.announce("couldn't run: %s", exception);
      } finally {
        playedCase.hosts.forEach(HostProcess::kill);
      }
      record.announce("exit %d", status);
    }
    System.exit(status);
  }

  private int play() throws Exception {
    StoreStandin store = new StoreStandin();
    store.write("op/config", catalogue());
    for (int number = 0; number < 4; number++) {
      ModelServer server = new ModelServer("i-model" + number, record);
      LinkProxy link = new LinkProxy(server.port(), this::heldUp);
      servers.add(server);
      links.add(link);
      store.write(
          "servers/" + server.identifier(),
          server.entry(SERVICE, link.address(), "zone-" + number % 3));
    }
    for (int number = 0; number < 6; number++) {
      hosts.add(new HostProcess(directory, "front-" + number, "zone-" + number % 3));
    }
    List<String> seeds = hosts.stream().limit(3).map(HostProcess::control).toList();
    for (HostProcess host : hosts) {
      host.start(seeds, store.address(), true);
    }
    Callers callers = new Callers(hosts, record);
    Thread.sleep(8_000);
    for (int attempt = 0; !hosts.stream().allMatch(HostProcess::ready); attempt++) {
      if (attempt == 30) {
        throw new IllegalStateException("a host is not ready");
      }
      Thread.sleep(500);
    }
    callers.start(16, 1);
    Thread.sleep(10_000);
    int cutServer = busiest();
    ModelServer server = servers.get(cutServer);
    double healedAt = Double.NaN;
    if (trouble) {
      awaitAnsweredLoad(server);
      links.get(cutServer).cut();
      final double cutAt = record.now();
      record.announce("link to %s is cut", server.identifier());
      if (!orderHeldUp.await(4, TimeUnit.SECONDS)) {
        throw new IllegalStateException("no order was on its way");
      }
      String holder = ModelServer.text(heldOrder, "holder");
      record.announce("order of %s is held up: %s", holder, heldOrder);
      HostProcess giver =
          hosts.stream().filter(host -> host.name().equals(holder)).findFirst().orElseThrow();
      giver.terminate();
      record.announce("SIGTERM to %s", holder);
      Threads.start("restart", () -> restart(giver, seeds, store.address()));
      TimeUnit.NANOSECONDS.sleep((long) ((cutAt + CUT_SECONDS - record.now()) * 1e9));
      links.get(cutServer).heal();
      healedAt = record.now();
      record.announce("link to %s is healed", server.identifier());
    } else {
      Thread.sleep((long) (CUT_SECONDS * 1_000));
    }
    Thread.sleep(10_000);
    callers.stop();
    record.announce("requests ended: %s", callers.outcomes());
    return check(healedAt) ? 0 : 1;
  }

  private void restart(HostProcess host, List<String> seeds, String store) throws Exception {
    host.ended(8_000);
    host.kill();
    record.announce("%s has ended and starts again", host.name());
    Thread.sleep(500);
    host.start(seeds, store, false);
  }

  private void heldUp(byte[] bytes) {
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    record.write("held up: %s", text.lines().findFirst().orElse(""));
    if (text.startsWith("POST /order") && orderHeldUp.getCount() > 0) {
      heldOrder = text.substring(text.indexOf("\r\n\r\n") + 4);
      orderHeldUp.countDown();
    }
  }

  /** Waits until a load has just been answered, so that the next order finds an open connection. */
  private void awaitAnsweredLoad(ModelServer server) throws InterruptedException {
    for (int attempt = 0; attempt < 5_000; attempt++) {
      List<ModelServer.Order> orders = server.orders();
      ModelServer.Order last = orders.get(orders.size() - 1);
      double age = record.now() - last.at();
      if (last.operation().equals("load") && age > 0.03 && age < 0.06) {
        return;
      }
      Thread.sleep(1);
    }
  }

  /** Returns the server with the most orders in the last seconds. */
  private int busiest() {
    double since = record.now() - 4;
    return IntStream.range(0, servers.size())
        .boxed()
        .max(
            Comparator.comparingLong(
                number ->
                    servers.get(number).orders().stream()
                        .filter(order -> order.at() > since)
                        .count()))
        .orElseThrow();
  }

  private boolean check(double healedAt) {
    boolean kept = true;
    for (ModelServer server : servers) {
      List<ModelServer.Order> counted =
          server.orders().stream()
              .filter(
                  order -> !(order.at() >= healedAt && order.at() <= healedAt + THAW_SLACK_SECONDS))
              .toList();
      for (int later = 1; later < counted.size(); later++) {
        kept &= judge(server, counted.subList(0, later), counted.get(later));
      }
    }
    return kept;
  }

  private boolean judge(
      ModelServer server, List<ModelServer.Order> earlier, ModelServer.Order after) {
    for (int number = earlier.size() - 1; number >= 0; number--) {
      if (!judge(server, earlier.get(number), after)) {
        return false;
      }
    }
    return true;
  }

  private boolean judge(ModelServer server, ModelServer.Order before, ModelServer.Order after) {
    if (before.holder().equals(after.holder())) {
      return true;
    }
    String broken = "";
    if (after.fence() == before.fence()) {
      broken = "two holders with one fencing token";
    } else if (after.fence() < before.fence()) {
      broken = "a lower fencing token after a higher one";
    } else if (after.at() - before.at() < LEASE_SECONDS) {
      broken = "holders take turns within lease_ttl_ms";
    }
    if (broken.isEmpty()) {
      return true;
    }
    record.write(
        "ONE broken at %s: %s: %.3f %s fence %d, then %.3f %s fence %d (answered %d)",
        server.identifier(),
        broken,
        before.at(),
        before.holder(),
        before.fence(),
        after.at(),
        after.holder(),
        after.fence(),
        after.status());
    return false;
  }

  private static String catalogue() {
    return "{\"version\":1,\"routes\":[{\"name\":\"r-chat\",\"host\":\"desk.example\","
        + "\"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":5000,"
        + "\"latency_target_ms\":1000,\"priority\":1,\"svc\":\""
        + SERVICE
        + "\",\"attempts\":1,\"public\":false,\"affinity\":true,\"resumable\":false,"
        + "\"gap_aim_ms\":300}],\"services\":[{\"name\":\""
        + SERVICE
        + "\",\"health_path\":\"/healthz\",\"max_conns\":360,\"proto\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slot_count\":64,\"kv_tokens\":235500,\"models\":[{\"name\":\""
        + ModelServer.MODEL
        + "\",\"weights_mb\":72700.0,\"load_time_s\":2.1,\"adapters\":3000,\"adapter_mb\":66.0}],"
        + "\"weights_mb\":74600.0,\"adapter_slots\":"
        + ModelServer.ADAPTER_SLOTS
        + ",\"loads_per_s\":2.1}}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }
}
