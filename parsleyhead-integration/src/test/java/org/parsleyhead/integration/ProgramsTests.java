package org.parsleyhead.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.entry.EntryMain;
import org.parsleyhead.load.LoadMain;
import org.parsleyhead.operator.OperatorMain;
import org.parsleyhead.standin.StandinMain;

@DisplayName("A program in a separate process")
@UseReporter(QuietReporter.class)
class ProgramsTests {

  @TempDir private Path folder;

  @ParameterizedTest(name = "{0}")
  @DisplayName("prints its help and its version and exits with 0")
  @EnumSource
  void printsHelpAndVersion(ProgramUnderTest program) throws Exception {
    ProgramResult help = run(program, "--help");
    assertEquals(0, help.status(), help.errors());
    assertTrue(help.output().contains(program.executable), help.output());
    ProgramResult version = run(program, "--version");
    assertEquals(0, version.status(), version.errors());
    assertTrue(version.output().startsWith(program.executable + " "), version.output());
  }

  @ParameterizedTest(name = "{0}")
  @DisplayName("exits with 2 and an error message if its arguments or settings are invalid")
  @EnumSource
  void rejectsInvalidArguments(ProgramUnderTest program) throws Exception {
    for (List<String> arguments :
        List.of(List.<String>of(), List.of("--unknown"), List.of("--settings", "none.toml"))) {
      ProgramResult finished = run(program, arguments.toArray(new String[0]));
      assertEquals(2, finished.status(), program + " " + arguments + finished.errors());
      assertFalse(finished.errors().isBlank());
    }
  }

  @Test
  @DisplayName("prints the approved help text if it is the entry host")
  void entryHelp() throws Exception {
    Approvals.verify(run(ProgramUnderTest.ENTRY, "--help").output());
  }

  private ProgramResult run(ProgramUnderTest program, String... arguments) throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx128m", "-cp", System.getProperty("java.class.path")));
    command.add(program.main.getName());
    command.addAll(List.of(arguments));
    Path output = folder.resolve("output");
    Path errors = folder.resolve("errors");
    Process process =
        new ProcessBuilder(command)
            .redirectOutput(output.toFile())
            .redirectError(errors.toFile())
            .start();
    return new ProgramResult(process.waitFor(), read(output), read(errors));
  }

  private static String read(Path file) throws IOException {
    return Files.readString(file, StandardCharsets.UTF_8);
  }

  /** The programs under test with their launchers and main classes. */
  enum ProgramUnderTest {
    ENTRY("parsleyhead-entry", EntryMain.class),
    OPERATOR("parsleyhead-operator", OperatorMain.class),
    STANDIN("parsleyhead-standin", StandinMain.class),
    LOAD("parsleyhead-load", LoadMain.class);

    private final String executable;
    private final Class<?> main;

    ProgramUnderTest(String executable, Class<?> main) {
      this.executable = executable;
      this.main = main;
    }
  }

  private record ProgramResult(int status, String output, String errors) {}
}
