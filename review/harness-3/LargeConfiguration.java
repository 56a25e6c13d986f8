import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 12: the configuration grows, and routes are removed. Exits with 1 if a machine lets requests
 * on a removed route run that were sent too late.
 */
final class LargeConfiguration {

  /** The largest count of routes by which the pages let a configuration grow. */
  private static final int ROUTES = 1_848;

  /** Below {@code max_value_bytes}, 1,048,576. */
  private static final int CONFIGURATION_BYTES = 1_048_300;

  /** The machines of the site, with two of its three spare ones. */
  private static final int HOSTS = 8;

  private static final int MODEL_SERVERS = 13;
  private static final int PLAIN_SERVERS = 3;

  /** {@code config_apply_ms}. */
  private static final double BOUND_SECONDS = 2;

  /** The routes that are removed, one after the other. */
  private static final List<String> REMOVED = List.of("old1", "old2", "old3", "old4", "old5");

  private LargeConfiguration() {}

  public static void main(String[] arguments) {
    int status = 2;
    try {
      status = run(Path.of(arguments[0]), !"0".equals(arguments[1]));
    } catch (IOException | InterruptedException | RuntimeException failure) {
      failure.printStackTrace();
    }
    System.exit(status);
  }

  private static int run(Path file, boolean trouble) throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("parsleyhead-case");
    RunRecord record = new RunRecord(file);
    Store store = new Store();
    store.write("op/config", configuration(3, REMOVED, false));
    for (int number = 0; number < PLAIN_SERVERS + MODEL_SERVERS; number++) {
      boolean engine = number >= PLAIN_SERVERS;
      new Server("i-" + number, engine ? "pool" : "depot", engine, record)
          .announceTo(store, 75L * number);
    }
    List<Host> hosts = new ArrayList<>();
    for (int number = 1; number <= HOSTS; number++) {
      hosts.add(new Host("front-tema-a-" + number, directory));
    }
    Cleanup.atExit(hosts, directory);
    List<String> seeds = hosts.stream().limit(3).map(host -> host.peers).toList();
    for (Host host : hosts) {
      host.start(seeds, true, store.address());
    }
    for (Host host : hosts) {
      host.awaitReady(40);
    }
    Thread.sleep(5_000);
    store.write("op/config", configuration(5, REMOVED, trouble));
    record.line("version 5 is acknowledged" + (trouble ? "; the configuration grows" : ""));
    Thread.sleep(8_000);
    int before = 0;
    int late = 0;
    int ran = 0;
    for (int taken = 1; taken <= REMOVED.size(); taken++) {
      String route = REMOVED.get(taken - 1);
      Load load = new Load(record, 0);
      for (Host host : hosts) {
        load.client(host.callers, route, 0, 1_000, 50, null);
      }
      Thread.sleep(2_000);
      long version = 5 + 2L * taken;
      store.write(
          "op/config", configuration(version, REMOVED.subList(taken, REMOVED.size()), trouble));
      double acknowledged = record.seconds();
      record.line("version " + version + " is acknowledged; it drops route " + route);
      Thread.sleep(5_000);
      load.stop();
      Thread.sleep(1_500);
      for (Host host : hosts) {
        double last = 0;
        for (Load.Outcome outcome : load.copy()) {
          boolean success = outcome.status() == 200 && outcome.host().equals(host.callers);
          before += success && outcome.sentAt() < acknowledged ? 1 : 0;
          last = success ? Math.max(last, outcome.sentAt() - acknowledged) : last;
          if (outcome.sentAt() > acknowledged + BOUND_SECONDS
              && outcome.host().equals(host.callers)) {
            late++;
            ran += success ? 1 : 0;
          }
        }
        record.line(
            String.format(
                "%s let a request run that was sent %.3f s after the acknowledgement, and none"
                    + " that was sent later",
                host.name, last));
      }
    }
    String result =
        before
            + " requests on the routes ran before; "
            + late
            + " were sent more than "
            + BOUND_SECONDS
            + " s after the acknowledgement, "
            + ran
            + " of these ran; CONFIG "
            + (ran > 0 ? "broken" : "held");
    record.line(result);
    System.out.println(result);
    return before == 0 ? 2 : ran > 0 ? 1 : 0;
  }

  /** Returns a configuration with some routes that, if it is large, keys of the tenant fill up. */
  private static String configuration(long version, List<String> removable, boolean large) {
    List<String> routes = new ArrayList<>(removable);
    for (int number = 0; large && number < ROUTES; number++) {
      routes.add("unused" + number);
    }
    List<String> keys = new ArrayList<>(List.of(Catalogue.KEY));
    int size = Catalogue.of(version, routes, keys).length();
    for (int number = 0; large && size + 23 <= CONFIGURATION_BYTES; number++) {
      keys.add(String.format("k%019d", number));
      size += 23;
    }
    return Catalogue.of(version, routes, keys);
  }
}
