package org.parsleyhead.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.runtime.command.Console;
import org.parsleyhead.runtime.command.ExitStatus;
import org.parsleyhead.runtime.command.Program;

@DisplayName("The operator command line")
@UseReporter(QuietReporter.class)
class OperatorMainTests {

  private static final String DECLARATIONS = "src/test/resources/declarations";

  private final Map<String, String> pages = new HashMap<>();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final Program program = OperatorMain.program(this::page);

  @TempDir private Path folder;

  @Test
  @DisplayName("prints its help text")
  void helpText() {
    Approvals.verify(program.helpText());
  }

  @Nested
  @DisplayName("renders")
  class Renders {

    @Test
    @DisplayName("a first ticket with its snapshot")
    void firstTicket() throws IOException {
      assertEquals(ExitStatus.SUCCESS, render(DECLARATIONS, 1), error());
      Approvals.verify(published());
    }

    @Test
    @DisplayName("a second ticket with changes and tombstones")
    void secondTicket() throws IOException {
      render(DECLARATIONS, 1);
      Path changedDeclarations = changedDeclarations();
      assertEquals(
          ExitStatus.SUCCESS,
          run("diff", changedDeclarations.toString(), "--previous", DECLARATIONS),
          error());
      assertEquals(ExitStatus.SUCCESS, render(changedDeclarations.toString(), 2), error());
      Approvals.verify(output() + "\n" + published());
    }

    @Test
    @DisplayName("no documents if nothing has changed")
    void unchanged() throws IOException {
      render(DECLARATIONS, 1);
      String before = published();
      assertEquals(ExitStatus.SUCCESS, render(DECLARATIONS, 2));
      assertTrue(output().endsWith("ticket=none changes=0\n"));
      assertEquals(before, published());
    }

    @Test
    @DisplayName("only the number after that of the last ticket")
    void onlyNextNumber() {
      assertEquals(ExitStatus.USAGE, render(DECLARATIONS, 2));
      assertTrue(error().contains("--number must be 1"), error());
      render(DECLARATIONS, 1);
      assertEquals(ExitStatus.USAGE, render(DECLARATIONS, 1));
      assertEquals(ExitStatus.USAGE, render(DECLARATIONS, 3));
    }

    @Test
    @DisplayName("no snapshot if the previous state is a folder of declarations")
    void withoutSnapshot() throws IOException {
      assertEquals(
          ExitStatus.SUCCESS,
          run(
              "render",
              changedDeclarations().toString(),
              "--previous",
              DECLARATIONS,
              "--number",
              "5",
              "--output",
              documents().toString()),
          error());
      assertEquals(
          "tickets/5 tickets/5.json\ntickets/latest tickets/latest.json\n",
          Files.readString(documents().resolve("publish.txt")));
    }

    @Test
    @DisplayName("no documents from declarations with problems")
    void rejectsProblems() throws IOException {
      Files.writeString(folder.resolve("bad.toml"), "[key.x]\n");
      assertEquals(ExitStatus.FAILURE, render(folder.toString(), 1));
      assertTrue(error().startsWith("bad.toml: key.x.client_account: "), error());
      assertFalse(Files.exists(documents()));
    }
  }

  @Nested
  @DisplayName("queries hosts")
  class QueriesHosts {

    @Test
    @DisplayName("and succeeds if all hosts have the same items")
    void uniform() {
      pages.put("127.0.0.1:1/tickets", status("entry-1", 7, "d1"));
      pages.put("127.0.0.1:2/tickets", status("entry-2", 7, "d1"));
      assertEquals(ExitStatus.SUCCESS, run("status", "--host", "127.0.0.1:1", "127.0.0.1:2"));
      assertEquals(
          "endpoint=127.0.0.1:1 host=entry-1 ticket=7 heard_of=7 items=18 digest=d1"
              + " heard_from=entry-2\n"
              + "endpoint=127.0.0.1:2 host=entry-2 ticket=7 heard_of=7 items=18 digest=d1"
              + " heard_from=entry-2\n"
              + "hosts=2 uniform=true\n",
          output());
    }

    @Test
    @DisplayName("and fails if their tickets or items differ, or a host does not respond")
    void different() {
      pages.put("127.0.0.1:1/tickets", status("entry-1", 7, "d1"));
      pages.put("127.0.0.1:2/tickets", status("entry-2", 8, "d1"));
      pages.put("127.0.0.1:3/tickets", status("entry-3", 7, "d2"));
      pages.put("127.0.0.1:4/tickets", "{}");
      for (String other : List.of("127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")) {
        assertEquals(
            ExitStatus.FAILURE, run("status", "--host", "127.0.0.1:1", "--host", other), other);
      }
      assertTrue(output().contains("endpoint=127.0.0.1:5 error=\"no answer\"\n"), output());
    }

    @Test
    @DisplayName("for their audit trail, and prints a notice if older entries are gone")
    void audit() {
      pages.put(
          "127.0.0.1:1/audit?since=3",
          "{\"first_sequence\":9,\"last_sequence\":9,\"entries\":[{\"sequence\":9,\"ticket\":7,"
              + "\"kind\":\"adapter\",\"name\":\"a\",\"action\":\"replaced\",\"heard_from\":"
              + "\"entry-2\",\"in_force_since\":\"2026-01-01T00:00:00Z\"}]}");
      assertEquals(
          ExitStatus.SUCCESS, run("audit", "--host", "127.0.0.1:1", "--since", "3"), error());
      assertEquals(
          "sequence=9 ticket=7 item=adapter/a action=replaced heard_from=entry-2"
              + " in_force_since=2026-01-01T00:00:00Z\n",
          output());
      assertEquals("the host no longer keeps entries before 9\n", error());
      assertEquals(ExitStatus.FAILURE, run("audit", "--host", "127.0.0.1:2"));
    }
  }

  @Test
  @DisplayName("reads a key only from the standard input and prints its digest")
  void digestsKey() {
    assertEquals(ExitStatus.SUCCESS, runWithInput("demo-key-depot\n", "digest-key"));
    assertEquals("0c6ac6f41f407763f3963cb947d753d9aef0112b7a97e4139bf00d116e17d25b\n", output());
    assertEquals(ExitStatus.USAGE, run("digest-key", "demo-key-depot"));
    assertEquals(ExitStatus.USAGE, runWithInput(" \n", "digest-key"));
  }

  private ExitStatus render(String declarations, int number) {
    return number == 1 && !Files.exists(documents())
        ? run("render", declarations, "--number", "1", "--output", documents().toString())
        : run(
            "render",
            declarations,
            "--number",
            Integer.toString(number),
            "--output",
            documents().toString(),
            Files.exists(documents())
                ? "--previous-documents=" + documents()
                : "--without-snapshot");
  }

  private Path documents() {
    return folder.resolve("documents");
  }

  /**
   * Returns a copy of the declarations without the key of the depot and with an added adapter
   * version.
   */
  private Path changedDeclarations() throws IOException {
    Path changedDeclarations = Files.createDirectory(folder.resolve("changed"));
    for (String file : List.of("adapters", "client-accounts", "routes", "upstreams")) {
      String text = Files.readString(Path.of(DECLARATIONS, file + ".toml"));
      text = text.replace("versions = [3]", "versions = [3, 4]");
      text = text.replaceFirst("\\[key\\.0c[0-9a-f]*]\nclient_account = \"depot\"\n", "");
      Files.writeString(changedDeclarations.resolve(file + ".toml"), text);
    }
    return changedDeclarations;
  }

  private String published() throws IOException {
    StringBuilder text = new StringBuilder();
    for (String line : Files.readAllLines(documents().resolve("publish.txt"))) {
      String file = line.substring(line.indexOf(' ') + 1);
      text.append(line).append('\n');
      text.append(Files.readString(documents().resolve(file)).replace("{\"kind\"", "\n{\"kind\""));
      text.append("\n\n");
    }
    return text.toString();
  }

  private String page(Endpoint endpoint, String pathAndQuery) {
    String page = pages.get(endpoint + pathAndQuery);
    if (page == null) {
      throw new OperatorException(OperatorException.HOST_FAILED, "no answer");
    }
    return page;
  }

  private static String status(String host, int ticket, String digest) {
    return ("{\"host\":\"%s\",\"in_force\":%d,\"heard_of\":%d,\"items\":18,\"digest\":\"%s\","
            + "\"heard_from\":\"entry-2\"}")
        .formatted(host, ticket, ticket, digest);
  }

  private ExitStatus run(String... arguments) {
    return runWithInput("", arguments);
  }

  private ExitStatus runWithInput(String input, String... arguments) {
    return program.run(
        List.of(arguments),
        new Console(
            new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
            new PrintStream(output, true, StandardCharsets.UTF_8),
            new PrintStream(errors, true, StandardCharsets.UTF_8)));
  }

  private String output() {
    return output.toString(StandardCharsets.UTF_8);
  }

  private String error() {
    return errors.toString(StandardCharsets.UTF_8);
  }
}
