package org.parsleyhead.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("The stand-in command")
class StandinCommandTests {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  @Test
  @DisplayName("prints the help text")
  void printsHelp() {
    assertEquals(0, run("--help"));
    Approvals.verify(output.toString(StandardCharsets.UTF_8));
  }

  @Test
  @DisplayName("reports an unknown option, a missing option and a missing settings file")
  void refusesUsage() {
    assertEquals(2, run("--unknown"));
    assertEquals(2, run());
    assertEquals(2, run("--settings", "no-such-file.toml"));
  }

  @Test
  @DisplayName("reports all problems of the settings")
  void namesProblems(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("standin.toml");
    Files.writeString(
        file,
        """
        [administration]
        endpoint = "127.0.0.1:1"
        [engines]
        adapter_slots = 0
        [engine.hosts]
        endpoint = "127.0.0.1:1"
        colour = "red"
        """);
    assertEquals(2, run("--check-settings", "--settings", file.toString()));
    String text = errors.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("engines.adapter_slots"), text);
    assertTrue(text.contains("engine.hosts: cannot have this name"), text);
    assertTrue(text.contains("engine.hosts.colour"), text);
  }

  private int run(String... arguments) {
    return StandinCommand.run(
        arguments, new PrintStream(output), new PrintStream(errors), settings -> {});
  }
}
