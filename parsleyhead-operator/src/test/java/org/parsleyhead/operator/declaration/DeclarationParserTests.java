package org.parsleyhead.operator.declaration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.RouteName;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.ItemKind;
import org.parsleyhead.core.ticket.Priority;
import org.parsleyhead.core.ticket.RouteItem;

@DisplayName("Declarations")
class DeclarationParserTests {

  private static final String BASE =
      """
      [client_account.floor]
      tokens_per_second = 10
      burst_tokens = 100
      [upstream.engine]
      endpoint = "127.0.0.1:1"
      failure_domain = "d"
      engine = { base_model = "base", adapter_slots = 4, maximum_batch = 8 }
      [upstream.stock]
      endpoint = "127.0.0.1:2"
      failure_domain = "d"
      """;

  @Test
  @DisplayName("are parsed into items, with safe defaults for absent fields")
  void parsedItems() {
    Declarations declarations =
        parse(
            withBase(
                """
                [route.stock]
                path_prefix = "/stock"
                access = "open"
                deadline_milliseconds = 5000
                upstreams = ["stock"]
                """));
    assertEquals(List.of(), declarations.problems());
    assertEquals(
        new RouteItem(
            new RouteName("stock"),
            "/stock",
            RouteItem.Access.OPEN,
            Set.of(),
            false,
            Priority.INTERACTIVE,
            Duration.ofSeconds(5),
            Set.of(new UpstreamName("stock"))),
        declarations.byKey().get(RouteItem.keyOf(new RouteName("stock"))));
  }

  @Test
  @DisplayName("of the demo contain items of every kind and have no problems")
  void demo() {
    Declarations declarations = DeclarationFolder.read(Path.of("../etc/declarations-demo"));
    assertEquals(List.of(), declarations.problems());
    assertEquals(
        Set.of(ItemKind.values()),
        declarations.byKey().keySet().stream().map(ItemKey::kind).collect(Collectors.toSet()));
  }

  @Test
  @DisplayName("are rejected with all invalid fields at once")
  void invalidFields() {
    assertEquals(
        List.of(
            "a.toml: adapter.a.client_accounts: must be a list of strings; found \"floor\"",
            "a.toml: adapter.a.colour: is not a known field",
            "a.toml: adapter.a.versions: contains a duplicate value; found [1,1]",
            "a.toml: adapter.a.weights_path: must be a string; it is missing",
            "a.toml: adapter.b: versions must be positive",
            "a.toml: client_account: must contain tables such as [client_account.NAME]",
            "a.toml: key.abc: digest must be 64 lower-case hexadecimal digits",
            "a.toml: route.r.access: must be one of open, authenticated, restricted; found \"all\"",
            "a.toml: route.r.deadline_milliseconds: must be a whole number, zero or more; found -1",
            "a.toml: route.r.idempotent: must be true or false; found \"yes\"",
            "a.toml: routes: is not a known kind of item",
            "a.toml: upstream.u.endpoint: endpoint must have the form address:port",
            "a.toml: upstream.u.engine.maximum_batch: is too large; found 3000000000"),
        problems(
            """
            client_account = "floor"
            [adapter.a]
            base_model = "base"
            versions = [1, 1]
            client_accounts = "floor"
            colour = "red"
            [adapter.b]
            base_model = "base"
            versions = [0]
            weights_path = "w"
            [key.abc]
            client_account = "floor"
            [route.r]
            path_prefix = "/r"
            access = "all"
            idempotent = "yes"
            deadline_milliseconds = -1
            [routes.s]
            [upstream.u]
            endpoint = "here"
            failure_domain = "d"
            engine = { base_model = "base", adapter_slots = 1, maximum_batch = 3000000000 }
            """));
  }

  @Test
  @DisplayName("are rejected when they refer to undeclared items")
  void danglingReferences() {
    assertEquals(
        List.of(
            "a.toml: adapter.a.base_model: is served by no upstream: other",
            "a.toml: adapter.a.client_accounts: names a client account that is not declared: ghost",
            "a.toml: key."
                + "0".repeat(64)
                + ".client_account: names a client account that is not declared: ghost",
            "a.toml: route.r.client_accounts: names a client account that is not declared: ghost",
            "a.toml: route.r.upstreams: names a model server: engine; leave upstreams out for"
                + " models",
            "a.toml: route.r.upstreams: names an upstream that is not declared: gone"),
        problems(
            withBase(
                """
                [adapter.a]
                base_model = "other"
                versions = [1]
                weights_path = "w"
                client_accounts = ["floor", "ghost"]
                [key.%s]
                client_account = "ghost"
                [route.r]
                path_prefix = "/r"
                access = "restricted"
                client_accounts = ["ghost"]
                deadline_milliseconds = 1
                upstreams = ["engine", "gone"]
                """
                    .formatted("0".repeat(64)))));
  }

  @Test
  @DisplayName("are rejected when they conflict with each other or are inconsistent")
  void conflicts() {
    assertEquals(
        List.of(
            "a.toml: client_account.none.burst_tokens: must be positive, or nothing is admitted",
            "a.toml: route.r.client_accounts: must name accounts if access is \"restricted\", and"
                + " none otherwise",
            "a.toml: route.s.path_prefix: is the same as that of route.r: /r",
            "a.toml: route.t.path_prefix: must not contain //, /., %, ?, # or \\: /a/../b",
            "a.toml: upstream.twin.endpoint: is the same as that of upstream.stock: 127.0.0.1:2"),
        problems(
            withBase(
                """
                [client_account.none]
                tokens_per_second = 1
                burst_tokens = 0
                [route.r]
                path_prefix = "/r"
                access = "restricted"
                deadline_milliseconds = 1
                [route.s]
                path_prefix = "/r"
                access = "open"
                deadline_milliseconds = 1
                [route.t]
                path_prefix = "/a/../b"
                access = "open"
                deadline_milliseconds = 1
                [upstream.twin]
                endpoint = "127.0.0.1:2"
                failure_domain = "d"
                """)));
  }

  @Test
  @DisplayName("are rejected when two files declare the same item or a file is not TOML")
  void severalFiles() {
    Declarations declarations =
        DeclarationParser.parse(
            List.of(
                new DeclarationFile("a.toml", BASE),
                new DeclarationFile("b.toml", BASE),
                new DeclarationFile("c.toml", "[route\n")));
    List<String> problems = declarations.problems().stream().map(Problem::toString).toList();
    assertEquals("b.toml: client_account.floor: is already declared in a.toml", problems.get(0));
    assertTrue(problems.get(3).startsWith("c.toml: line 1: not TOML"), problems.toString());
    assertEquals(4, problems.size());
  }

  private static String withBase(String text) {
    return BASE + text;
  }

  private static Declarations parse(String text) {
    return DeclarationParser.parse(List.of(new DeclarationFile("a.toml", text)));
  }

  private static List<String> problems(String text) {
    return parse(text).problems().stream().map(Problem::toString).toList();
  }
}
