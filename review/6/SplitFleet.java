import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Seven hosts, three of which are the seeds. The seeds lose power, stay away for longer than the
 * others remember them, and come back together.
 */
public final class SplitFleet {

  private static final int HOSTS = 7;
  private static final int SEEDS = 3;
  private static final int MODEL_SERVERS = 3;
  private static final int ADAPTERS = 40;
  private static final long AWAY_MILLISECONDS = 22_000;
  private static final long OBSERVED_MILLISECONDS = 20_000;

  private final Record record;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final Random random = new Random(6);
  private int requests;

  private SplitFleet(Record record) {
    this.record = record;
  }

  /** Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
  public static void main(String[] arguments) throws IOException {
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      try {
        status = new SplitFleet(record).run(arguments[1].equals("1")) ? 1 : 0;
      } catch (Exception failure) {
        record.report("could not run: %s", failure);
      }
    }
    System.exit(status);
  }

  private boolean run(boolean trouble) throws Exception {
    Path directory = Files.createTempDirectory("review-6");
    Store store = new Store();
    store.write("op/config", Documents.configuration(1));
    for (int number = 1; number <= MODEL_SERVERS; number++) {
      servers.add(new Server("i-" + number, "llm-pool", store, record));
    }
    for (int number = 1; number <= HOSTS; number++) {
      hosts.add(new Host("front-" + number, store.endpoint(), directory));
    }
    List<Host> seeds = hosts.subList(0, SEEDS);
    List<String> seedEndpoints = seeds.stream().map(Host::peers).toList();
    for (Host host : hosts) {
      host.start(seedEndpoints, true);
    }
    for (Host host : hosts) {
      host.awaitReady(20_000);
    }
    record.report("ready hosts=%d", hosts.size());
    load(hosts, 6_000);
    if (trouble) {
      for (Host seed : seeds) {
        seed.kill();
      }
      record.report("killed %s", seeds.stream().map(Host::name).toList());
    }
    load(hosts.subList(SEEDS, HOSTS), AWAY_MILLISECONDS);
    if (trouble) {
      for (Host seed : seeds) {
        seed.start(seedEndpoints, false);
      }
      for (Host seed : seeds) {
        seed.awaitReady(20_000);
      }
      record.report("restarted %s", seeds.stream().map(Host::name).toList());
    }
    load(hosts, OBSERVED_MILLISECONDS);
    return judge();
  }

  /** Sends requests for random adapters to hosts in turn, ten in a second. */
  private void load(List<Host> targets, long milliseconds) throws InterruptedException {
    long until = record.now() + milliseconds;
    while (record.now() < until) {
      requests++;
      Host host = targets.get(requests % targets.size());
      String identifier = "r" + requests;
      String adapter = "a" + random.nextInt(ADAPTERS);
      Threads.start("caller", () -> call(host, identifier, adapter));
      Thread.sleep(100);
    }
  }

  private void call(Host host, String identifier, String adapter) {
    record.line("sent request=%s host=%s adapter=%s", identifier, host.name(), adapter);
    try {
      HttpMessage response =
          Caller.call(
              host.callers(),
              "POST",
              "/chat/1",
              identifier,
              5_000,
              Caller.modelHeaders(adapter),
              new byte[100]);
      record.line("answered request=%s status=%d", identifier, response.status());
    } catch (IOException failure) {
      record.line("unanswered request=%s %s", identifier, failure);
    }
  }

  private boolean judge() throws IOException {
    for (Host host : hosts) {
      Files.readAllLines(host.log()).stream()
          .filter(line -> line.contains("lease_won") || line.contains("lease_lost"))
          .forEach(line -> record.line("%s %s", host.name(), line));
    }
    boolean broken = false;
    for (Server server : servers) {
      List<String> breaches = OrderCheck.breaches(server.orders());
      record.report(
          "server=%s orders=%d breaches=%d", server.identifier(), server.orders().size(), breaches.size());
      breaches.stream().limit(5).forEach(breach -> record.report("%s", breach));
      broken |= !breaches.isEmpty();
    }
    record.report(broken ? "ONE is broken" : "ONE holds");
    return broken;
  }
}
