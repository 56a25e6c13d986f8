package org.parsleyhead.runtime.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.runtime.settings.SettingsReader;

@DisplayName("A service program")
class ServiceProgramTests {

  @TempDir private Path folder;
  private Path file;
  private final FakeConsole console = new FakeConsole("");
  private final List<String> events = new ArrayList<>();
  private final Program program =
      ServiceProgram.create(
          "service",
          "serves",
          ServiceProgramTests::parse,
          this::start,
          () -> events.add("stop requested"));

  @BeforeEach
  void writeSettings() throws IOException {
    file = folder.resolve("service.toml");
    Files.writeString(file, "size = 3\n");
  }

  @Test
  @DisplayName("starts, runs until a stop is requested, and exits with the status of the stop")
  void serves() {
    assertEquals(ExitStatus.SUCCESS, run("--settings", file.toString()));
    assertEquals(List.of("started 3", "stop requested", "stopped"), events);
  }

  @Test
  @DisplayName("validates the settings without starting when requested")
  void checks() {
    assertEquals(ExitStatus.SUCCESS, run("--check-settings", "--settings", file.toString()));
    assertEquals("settings are valid\n", console.output());
    assertTrue(events.isEmpty());
  }

  @Test
  @DisplayName("rejects invalid settings with status 2, naming the file and all paths")
  void rejectsSettings() throws IOException {
    Files.writeString(file, "size = 11\nother = 1\n");
    assertEquals(ExitStatus.USAGE, run("--settings", file.toString()));
    assertEquals(
        "service: "
            + file
            + ": size: must be a whole number between 0 and 10; found 11\n"
            + "service: "
            + file
            + ": other: is not a known setting\n",
        console.errors());
    assertTrue(events.isEmpty());
  }

  @Test
  @DisplayName("rejects a settings file that it cannot read")
  void rejectsMissingFile() {
    assertEquals(ExitStatus.USAGE, run("--settings", folder.resolve("none").toString()));
    assertTrue(console.errors().startsWith("service: --settings: cannot read "));
  }

  private ExitStatus run(String... arguments) {
    return program.run(List.of(arguments), console.console());
  }

  private static long parse(SettingsReader reader) {
    long size = reader.number("size", 0, 10, 0);
    reader.finish();
    return size;
  }

  private Service start(long size, Console unused) {
    events.add("started " + size);
    return () -> {
      events.add("stopped");
      return ExitStatus.SUCCESS;
    };
  }
}
