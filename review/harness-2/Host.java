import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One host of the system: its addresses, and its process, which is started with the command of the
 * deploy file.
 */
final class Host {

  private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
  private static final String SETTINGS_PLACEHOLDER = "/etc/parsleyhead/node.toml";

  private final String name;
  private final String callers = Ports.freeEndpoint();
  private final String readiness = Ports.freeEndpoint();
  private final String peers = Ports.freeEndpoint();
  private final String metrics = Ports.freeEndpoint();
  private final String store;
  private final Path directory;
  private Process process;

  Host(String name, String store, Path directory) throws IOException {
    this.name = name;
    this.store = store;
    this.directory = directory;
  }

  String name() {
    return name;
  }

  /** Returns the endpoint for callers. */
  String callers() {
    return callers;
  }

  /** Returns the endpoint for the other hosts. */
  String peers() {
    return peers;
  }

  String metrics() {
    return metrics;
  }

  /** Starts the process; its output is appended to the log of the host. */
  void start(List<String> seeds, boolean firstStart) throws IOException {
    Path settings =
        Files.writeString(directory.resolve(name + ".toml"), settings(seeds, firstStart));
    List<String> command = new ArrayList<>();
    for (String part : deployCommand().split(" ")) {
      command.add(part.equals(SETTINGS_PLACEHOLDER) ? settings.toString() : part);
    }
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
            .start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Waits until the host says that it is ready. */
  void awaitReady(long timeoutMilliseconds) throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMilliseconds);
    while (!ready()) {
      if (System.nanoTime() > until || !process.isAlive()) {
        throw new IOException(name + " is not ready");
      }
      Thread.sleep(50);
    }
  }

  boolean ready() {
    try {
      HttpURLConnection call =
          (HttpURLConnection) new URL("http://" + readiness + "/readyz").openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(1_000);
      return call.getResponseCode() == 200;
    } catch (IOException notReady) {
      return false;
    }
  }

  boolean alive() {
    return process.isAlive();
  }

  long processIdentifier() {
    return process.pid();
  }

  /** Ends the process at once, as a loss of power does. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Asks the process to stop. */
  void terminate() {
    process.destroy();
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  Path log() {
    return directory.resolve(name + ".log");
  }

  private static String deployCommand() throws IOException {
    for (String line : Files.readAllLines(DEPLOY_FILE)) {
      if (line.startsWith("run = \"")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("no command in " + DEPLOY_FILE);
  }

  /** Returns what the template of the settings yields with the bounds of the Accra site. */
  private String settings(List<String> seeds, boolean firstStart) {
    return """
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
        seeds = ["%s"]
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
            String.join("\", \"", seeds),
            firstStart,
            store);
  }
}
