import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 12: the store turns one of three machines away while a large configuration takes a key away.
 * Exits with 1 if that machine lets requests with the key run.
 */
final class LargeConfiguration {

  /** The largest count of routes by which the pages let a configuration grow. */
  private static final int ROUTES = 1_848;

  /** Below {@code max_value_bytes}, 1,048,576. */
  private static final int CONFIGURATION_BYTES = 1_048_300;

  private static final int MODEL_SERVERS = 13;
  private static final int PLAIN_SERVERS = 3;

  /** As long as the site lets its store turn machines away. */
  private static final long REFUSAL_MILLISECONDS = 9_000;

  /** {@code config_apply_ms} and {@code outer_ms}. */
  private static final double BOUND_SECONDS = 2 + 5;

  private static final String REVOKED = "revokedkey0000000000";

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
    store.write("op/config", configuration(3, true));
    for (int number = 0; number < PLAIN_SERVERS + MODEL_SERVERS; number++) {
      boolean engine = number >= PLAIN_SERVERS;
      new Server("i-" + number, engine ? "pool" : "depot", engine, record).announceTo(store);
    }
    List<Host> hosts = new ArrayList<>();
    for (String name : List.of("front-tema-a-1", "front-tema-b-1", "front-spintex-1")) {
      hosts.add(new Host(name, directory));
    }
    Cleanup.atExit(hosts, directory);
    List<String> seeds = hosts.stream().map(host -> host.peers).toList();
    Host turnedAway = hosts.get(2);
    for (Host host : hosts) {
      host.start(seeds, true, host == turnedAway ? store.otherAddress() : store.address());
    }
    for (Host host : hosts) {
      host.awaitReady(30);
    }
    Thread.sleep(5_000);
    Load sound = new Load(record, 0);
    Load revoked = new Load(record, 0);
    Load elsewhere = new Load(record, 0);
    for (Host host : hosts) {
      sound.client(host.callers, "read", 0, 1_000, 200, null);
    }
    revoked.client(turnedAway.callers, "read", 0, 1_000, 50, null, REVOKED);
    elsewhere.client(hosts.get(0).callers, "read", 0, 1_000, 50, null, REVOKED);
    Thread.sleep(3_000);
    if (trouble) {
      store.refuse(true);
      record.line("the store turns " + turnedAway.name + " away");
    }
    Thread.sleep(500);
    store.write("op/config", configuration(5, false));
    double acknowledged = record.seconds();
    record.line("version 5 is acknowledged; it drops key " + REVOKED);
    Thread.sleep(REFUSAL_MILLISECONDS - 500);
    store.refuse(false);
    record.line("the store serves all machines");
    Thread.sleep(3_000);
    sound.stop();
    revoked.stop();
    elsewhere.stop();
    Thread.sleep(2_000);
    String others =
        "another machine let "
            + elsewhere.copy().stream().filter(outcome -> ranLate(outcome, acknowledged)).count()
            + " such requests run";
    record.line(others);
    System.out.println(others);
    return judge(record, revoked.copy(), acknowledged);
  }

  private static boolean ranLate(Load.Outcome outcome, double acknowledged) {
    return outcome.status() == 200 && outcome.sentAt() > acknowledged + BOUND_SECONDS;
  }

  private static int judge(
      RunRecord record, List<Load.Outcome> outcomes, double acknowledged) {
    int late = 0;
    int ran = 0;
    int before = 0;
    for (Load.Outcome outcome : outcomes) {
      boolean success = outcome.end().equals("answered") && outcome.status() == 200;
      before += success && outcome.sentAt() < acknowledged ? 1 : 0;
      if (outcome.sentAt() > acknowledged + BOUND_SECONDS) {
        late++;
        ran += ranLate(outcome, acknowledged) ? 1 : 0;
      }
    }
    String result =
        before
            + " requests with the key ran before; "
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

  /** Returns a configuration that keys of the tenant fill up to its size. */
  private static String configuration(long version, boolean withRevoked) {
    List<String> keys = new ArrayList<>(List.of(Catalogue.KEY));
    if (withRevoked) {
      keys.add(REVOKED);
    }
    int size = Catalogue.of(version, ROUTES, keys).length();
    for (int number = 0; size + 23 <= CONFIGURATION_BYTES; number++) {
      keys.add(String.format("k%019d", number));
      size += 23;
    }
    return Catalogue.of(version, ROUTES, keys);
  }
}
