package org.parsleyhead.runtime.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

@DisplayName("A program with several commands")
class ProgramTests {

  private final FakeConsole console = new FakeConsole("");
  private final Program program =
      new Program("tool", "does things", List.of(copy(), failing("fail"), failing("crash")));

  @Test
  @DisplayName("passes validated arguments to the command")
  void runsCommand() {
    ExitStatus status = run("copy", "here", "--to", "a", "b", "--to", "c", "--count", "3");
    assertEquals(ExitStatus.SUCCESS, status, console.errors());
    assertEquals("here to [a, b, c] 3 times\n", console.output());
  }

  @Test
  @DisplayName("prints its help or version, whatever the other arguments are")
  void printsHelp() {
    assertEquals(ExitStatus.SUCCESS, run("copy", "--help"));
    assertEquals(program.helpText(), console.output());
    assertTrue(program.helpText().contains("tool copy FROM --to PLACE... [--count N]"));
    assertEquals(ExitStatus.SUCCESS, run("--version"));
    assertTrue(console.output().endsWith(program.versionLine() + "\n"));
  }

  @ParameterizedTest(name = "{0}: {1}")
  @DisplayName("rejects invalid arguments with status 2 and a message that states what is expected")
  @MethodSource("invalidArguments")
  void rejects(List<String> arguments, String message) {
    assertEquals(ExitStatus.USAGE, program.run(arguments, console.console()));
    assertEquals("tool: " + message + "\nTry tool --help\n", console.errors());
  }

  static Stream<Arguments> invalidArguments() {
    return Stream.of(
        Arguments.of(List.of(), "missing command; expected one of copy, fail, crash"),
        Arguments.of(
            List.of("cpoy"), "unknown command \"cpoy\"; expected one of copy, fail, crash"),
        Arguments.of(List.of("copy"), "missing FROM"),
        Arguments.of(List.of("copy", "a"), "missing --to PLACE..."),
        Arguments.of(List.of("copy", "--to", "b", "--", "a", "c"), "unexpected argument: c"),
        Arguments.of(List.of("copy", "a", "--tow", "b"), "Unrecognized option: --tow"),
        Arguments.of(
            List.of("copy", "a", "--to", "b", "--count", "1", "--count", "2"),
            "--count is given more than once"),
        Arguments.of(
            List.of("copy", "a", "--to", "b", "--count", "-1"),
            "--count must be a whole number," + " found \"-1\""));
  }

  @Test
  @DisplayName("fails with status 1 and prints the error")
  void fails() {
    assertEquals(ExitStatus.FAILURE, run("fail"));
    assertEquals("tool: no luck\n", console.errors());
    assertEquals(ExitStatus.FAILURE, run("crash"));
    assertTrue(
        console.errors().endsWith("tool: internal_error: java.lang.RuntimeException: bug\n"));
  }

  private ExitStatus run(String... arguments) {
    return program.run(List.of(arguments), console.console());
  }

  private static Command copy() {
    CommandDescription description =
        new CommandDescription(
            "copy",
            List.of("FROM"),
            List.of(
                OptionDescription.repeated("to", "PLACE", "where to"),
                OptionDescription.optional("count", "N", "how often")),
            "Copies.");
    return new Command(
        description,
        (arguments, console) -> {
          String from = arguments.operands().get(0);
          long count = arguments.number("count").orElse(1);
          console.output().println(from + " to " + arguments.texts("to") + " " + count + " times");
          return ExitStatus.SUCCESS;
        });
  }

  private static Command failing(String name) {
    return new Command(
        new CommandDescription(name, List.of(), List.of(), "Fails."),
        (arguments, console) -> {
          if (name.equals("crash")) {
            throw new RuntimeException("bug");
          }
          throw CommandException.failed("no luck", null);
        });
  }
}
