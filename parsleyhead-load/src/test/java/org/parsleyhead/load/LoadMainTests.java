package org.parsleyhead.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.standin.StandinProcess;
import org.parsleyhead.standin.settings.StandinSettingsReader;

@DisplayName("The load generator")
class LoadMainTests {

  private static final int FIRST_PORT = 25_000;
  private static final int PORT_RANGE = 5_000;
  private static final String STANDINS =
      """
      [administration]
      endpoint = "127.0.0.1:PORT0"
      [engines]
      step_base_milliseconds = 1
      [engine.engine-1]
      endpoint = "127.0.0.1:PORT1"
      [service.dispatch-1]
      endpoint = "127.0.0.1:PORT2"
      [ledger]
      file = "LEDGER"
      """;
  private static final String LOAD =
      """
      duration = "500 ms"
      targets = ["127.0.0.1:PORT"]
      [account.a]
      key = "key-of-a"
      [traffic.chat]
      account = "a"
      kind = "KIND"
      model = "base"
      requests_per_second = 40
      output_tokens_minimum = 2
      output_tokens_maximum = 5
      """;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  @Test
  @DisplayName("prints its help")
  void printsHelp() {
    assertEquals(0, run("--help"));
    Approvals.verify(output.toString(StandardCharsets.UTF_8));
  }

  @Test
  @DisplayName("exits with 2 on invalid arguments and invalid settings")
  void refusesUsage(@TempDir Path folder) throws IOException {
    assertEquals(2, run("--unknown"));
    assertEquals(2, run());
    Path settings = write(folder.resolve("load.toml"), "duration = 5");
    assertEquals(2, run("--settings", settings.toString()));
    assertTrue(errors.toString(StandardCharsets.UTF_8).contains("targets"));
  }

  @Test
  @DisplayName(
      "verifies all responses of stand-ins and reports the API key recorded in their ledger")
  void sendsAndCompares(@TempDir Path folder) throws IOException {
    List<Integer> ports = freePorts(3);
    Path ledger = folder.resolve("ledger.ndjson");
    String settings = STANDINS.replace("LEDGER", ledger.toString());
    for (int index = 0; index < ports.size(); index++) {
      settings = settings.replace("PORT" + index, ports.get(index).toString());
    }
    for (String kind : List.of("chat", "call")) {
      try (StandinProcess process = StandinProcess.start(StandinSettingsReader.read(settings))) {
        int port = ports.get(kind.equals("chat") ? 1 : 2);
        String text = LOAD.replace("PORT", Integer.toString(port)).replace("KIND", kind);
        String load = write(folder.resolve("load.toml"), text).toString();
        String outcomes = folder.resolve("outcomes.ndjson").toString();
        assertEquals(0, run("--settings", load, "--outcomes", outcomes), process::toString);
        assertTrue(output.toString(StandardCharsets.UTF_8).contains("refused=0 failed=0 wrong=0"));
        assertEquals(
            1,
            run("--settings", load, "--outcomes", outcomes, "--compare-ledger", ledger.toString()));
        assertTrue(
            output
                .toString(StandardCharsets.UTF_8)
                .contains(
                    "double_run=0 wrongful_not_run=0 answered_without_run=0 wrong_model=0"
                        + " forbidden_run=0 key_seen="));
      }
    }
  }

  private int run(String... arguments) {
    return LoadMain.run(arguments, new PrintStream(output), new PrintStream(errors));
  }

  private static Path write(Path file, String text) throws IOException {
    return Files.writeString(file, text);
  }

  private static List<Integer> freePorts(int count) {
    List<Integer> ports = new ArrayList<>();
    int start = FIRST_PORT + (int) (ProcessHandle.current().pid() % PORT_RANGE);
    for (int port = start; ports.size() < count; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        ports.add(socket.getLocalPort());
      } catch (IOException exception) {
        continue;
      }
    }
    return ports;
  }
}
