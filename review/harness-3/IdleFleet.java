import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 11: three machines restart behind a cut while nobody needs a load. Exits with 1 if machines on
 * both sides of the cut give orders to one server.
 */
final class IdleFleet {

  /** The machines of the site with its spare ones. */
  private static final int HOSTS = 9;

  private static final int SEEDS = 3;
  private static final int MODEL_SERVERS = 3;

  /** The longest cut of machines that the site has. */
  private static final long CUT_MILLISECONDS = 12_000;

  private static final long IDLE_MILLISECONDS = 8_000;

  /** {@code lease_ttl_ms}. */
  private static final double LEASE_SECONDS = 3;

  /** An order that a server carries out. */
  private record Order(String server, double at, String holder, long fence) {}

  private final List<Order> orders = new ArrayList<>();
  private final RunRecord record;

  private IdleFleet(RunRecord record) {
    this.record = record;
  }

  public static void main(String[] arguments) {
    int status = 2;
    try {
      status =
          new IdleFleet(new RunRecord(Path.of(arguments[0]))).run(!"0".equals(arguments[1]));
    } catch (IOException | InterruptedException | RuntimeException failure) {
      failure.printStackTrace();
    }
    System.exit(status);
  }

  private int run(boolean trouble) throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("parsleyhead-case");
    Store store = new Store();
    store.write("op/config", Catalogue.of(3));
    for (int number = 0; number < MODEL_SERVERS; number++) {
      new Server("i-" + number, "pool", true, record) {
        @Override
        void ordered(String holder, long fence, int status) {
          if (status == 200 || status == 202) {
            add(new Order(identifier, record.seconds(), holder, fence));
          }
        }
      }.announceTo(store, 300L * number);
    }
    List<Host> hosts = new ArrayList<>();
    for (int number = 1; number <= HOSTS; number++) {
      hosts.add(new Host("front-" + number, directory));
    }
    List<Host> restarted = new ArrayList<>();
    for (int number = 1; number <= SEEDS; number++) {
      restarted.add(new Host("front-" + number + "-again", directory));
    }
    List<Host> all = new ArrayList<>(hosts);
    all.addAll(restarted);
    Cleanup.atExit(all, directory);
    List<String> seeds = hosts.stream().limit(SEEDS).map(host -> host.peers).toList();
    for (Host host : hosts) {
      host.start(seeds, true, store.address());
    }
    for (Host host : hosts) {
      host.awaitReady(40);
    }
    Thread.sleep(8_000);
    // Each host learns that the servers hold adapters; then nobody needs a load.
    Load before = new Load(record, 0);
    for (Host host : hosts) {
      before.client(host.callers, "chat", 1_000, 15_000, 300, Server.MODEL, "a", 3);
    }
    Thread.sleep(3_000);
    before.stop();
    Thread.sleep(3_000);
    double cutAt = record.seconds();
    if (trouble) {
      record.line("three machines are cut off from the others and restart");
      hosts.subList(0, SEEDS).forEach(Host::end);
      List<String> reached = restarted.stream().map(host -> host.peers).toList();
      for (Host host : restarted) {
        host.start(reached, false, store.address());
      }
    }
    Thread.sleep(IDLE_MILLISECONDS);
    record.line("other adapters are asked for");
    Load after = new Load(record, 0);
    for (Host host : hosts.subList(SEEDS, HOSTS)) {
      after.client(host.callers, "chat", 1_000, 15_000, 200, Server.MODEL, "b", 30);
    }
    for (Host host : trouble ? restarted : hosts.subList(0, SEEDS)) {
      after.client(host.callers, "chat", 1_000, 15_000, 200, Server.MODEL, "c", 30);
    }
    double end = cutAt + CUT_MILLISECONDS / 1_000.0;
    Thread.sleep(Math.max(0, (long) ((end - record.seconds()) * 1_000)));
    record.line("the cut would end");
    after.stop();
    return judge(cutAt, end);
  }

  private synchronized void add(Order order) {
    orders.add(order);
  }

  private synchronized int judge(double cutAt, double end) {
    int judged = 0;
    int turns = 0;
    int lower = 0;
    for (int index = 0; index < orders.size(); index++) {
      Order order = orders.get(index);
      if (order.at() < cutAt || order.at() > end) {
        continue;
      }
      judged++;
      Order last = null;
      for (Order earlier : orders.subList(0, index)) {
        last = earlier.server().equals(order.server()) ? earlier : last;
      }
      if (last != null && !last.holder().equals(order.holder())) {
        boolean turn = order.at() - last.at() < LEASE_SECONDS;
        boolean falls = order.fence() <= last.fence();
        turns += turn ? 1 : 0;
        lower += falls ? 1 : 0;
        record.line(
            String.format(
                "%s: %s after %s, %.3f s later%s",
                order.server(),
                order.holder(),
                last.holder(),
                order.at() - last.at(),
                falls ? ", with a fence that is not higher" : ""));
      }
    }
    String result =
        judged
            + " orders carried out within the cut, "
            + turns
            + " by another holder less than "
            + LEASE_SECONDS
            + " s after the one before, "
            + lower
            + " with a fence that is not higher; ONE "
            + (turns + lower > 0 ? "broken" : "held");
    record.line(result);
    System.out.println(result);
    return judged == 0 ? 2 : turns + lower > 0 ? 1 : 0;
  }
}
