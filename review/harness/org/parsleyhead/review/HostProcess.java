package org.parsleyhead.review;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A host, started with the command and the template of the deploy files.
 *
 * <p>Confined to the thread of its case, apart from {@link #ready()}.
 */
final class HostProcess {

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)(\\|json)?}}");

  private static final int LOWEST_PORT = 12_000;
  private static final int HIGHEST_PORT = 30_000;
  private static final Set<Integer> GIVEN_PORTS = ConcurrentHashMap.newKeySet();

  private final Path directory;
  private final String name;
  private final String zone;
  private final int front = freePort();
  private final int readiness = freePort();
  private final int control = freePort();
  private final int metrics = freePort();
  private volatile Process process;

  HostProcess(Path directory, String name, String zone) throws IOException {
    this.directory = directory;
    this.name = name;
    this.zone = zone;
  }

  String name() {
    return name;
  }

  int front() {
    return front;
  }

  String control() {
    return "127.0.0.1:" + control;
  }

  void start(List<String> seeds, String store, boolean bootstrap) throws IOException {
    Path settings = directory.resolve(name + ".toml");
    Files.writeString(settings, settings(seeds, store, bootstrap));
    List<String> command = new ArrayList<>();
    for (String word : run().split(" ")) {
      command.add(word.equals("/etc/parsleyhead/node.toml") ? settings.toString() : word);
    }
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  boolean ended(long timeoutMilliseconds) throws InterruptedException {
    return process.waitFor(timeoutMilliseconds, TimeUnit.MILLISECONDS);
  }

  /** Returns whether the host answers 200 to the question of the balancer. */
  boolean ready() {
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), readiness)) {
      socket.setSoTimeout(900);
      socket
          .getOutputStream()
          .write(
              "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = HttpMessage.read(socket.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException exception) {
      return false;
    }
  }

  private static String run() throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!matcher.find()) {
      throw new IOException("no command in the deploy file");
    }
    return matcher.group(1);
  }

  private String settings(List<String> seeds, String store, boolean bootstrap) throws IOException {
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("node_name", name),
            Map.entry("zone", zone),
            Map.entry("limits.cpu_share", "0.75"),
            Map.entry("listen.front", "127.0.0.1:" + front),
            Map.entry("listen.ready", "127.0.0.1:" + readiness),
            Map.entry("listen.control", control()),
            Map.entry("bind_ip", "127.0.0.1"),
            Map.entry("seed_addrs", "[\"" + String.join("\",\"", seeds) + "\"]"),
            Map.entry("bootstrap", Boolean.toString(bootstrap)),
            Map.entry("platform.addr", store),
            Map.entry("bounds.lease_ttl_ms", "3000"),
            Map.entry("bounds.quota_over", "0.25"),
            Map.entry("bounds.grace_period_s", "8"),
            Map.entry("bounds.quota_slack", "110000"),
            Map.entry("bounds.retry_ratio", "0.2"),
            Map.entry("bounds.retry_slack", "52"),
            Map.entry("bounds.retry_window_s", "10"));
    String template = Files.readString(Path.of("deploy/gateway.toml"));
    String rendered =
        PLACEHOLDER
            .matcher(template.replaceAll("\\{\\{#zones}}.*\\{\\{/zones}}", ""))
            .replaceAll(match -> Matcher.quoteReplacement(values.get(match.group(1))));
    return rendered.replace("127.0.0.1:9464", "127.0.0.1:" + metrics);
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  private static int freePort() throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
      if (!GIVEN_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException exception) {
        continue;
      }
    }
    throw new IOException("no free port");
  }
}
