import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command of the deploy file. */
final class Host {

  private static final String SETTINGS_PLACE = "/etc/parsleyhead/node.toml";

  final String name;
  final String callers = freeAddress();
  final String readiness = freeAddress();
  final String peers = freeAddress();
  final String metrics = freeAddress();
  final Path log;
  private final Path settings;
  private Process process;

  Host(String name, Path directory) throws IOException {
    this.name = name;
    this.settings = directory.resolve(name + ".toml");
    this.log = directory.resolve(name + ".log");
  }

  /** Starts the process; the working directory of this one is the root of the repository. */
  void start(List<String> seeds, boolean first, String store) throws IOException {
    Files.writeString(
        settings,
        """
        [host]
        name = "%s"
        failure_domain = "tema-a"
        processor_share = 0.75
        [callers]
        endpoint = "%s"
        [readiness]
        endpoint = "%s"
        [metrics]
        endpoint = "%s"
        [peers]
        endpoint = "%s"
        seeds = [%s]
        first_start = %s
        [publication]
        endpoint = "%s"
        [engines]
        lease_gap = "3000 ms"
        [allowances]
        tolerance = 0.25
        slack = 110000
        [retries]
        ratio = 0.2
        burst = 52
        window = "10 s"
        [process]
        grace = "8 s"
        [regions]
        domains = ["tema-a=accra", "tema-b=accra", "spintex=accra"]
        """
            .formatted(
                name,
                callers,
                readiness,
                metrics,
                peers,
                String.join(", ", seeds.stream().map(seed -> '"' + seed + '"').toList()),
                first,
                store));
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    List<String> command = new ArrayList<>();
    for (String word : run.group(1).split(" ")) {
      command.add(word.equals(SETTINGS_PLACE) ? settings.toString() : word);
    }
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Returns whether the host says that it is ready; false too if it does not answer within 1 s. */
  boolean ready() {
    try (Socket socket = Client.connect(readiness)) {
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write(Http.head("GET /readyz HTTP/1.1", "Host", "ready"));
      Http.Message answer = Http.read(socket.getInputStream(), true);
      return answer != null && answer.status() == 200;
    } catch (IOException | RuntimeException unanswered) {
      return false;
    }
  }

  void awaitReady(long seconds) throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!ready()) {
      if (System.nanoTime() > until || !alive()) {
        throw new IOException(name + " is not ready");
      }
      Thread.sleep(100);
    }
  }

  /** Ends the process, if it runs. */
  void end() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }
}
