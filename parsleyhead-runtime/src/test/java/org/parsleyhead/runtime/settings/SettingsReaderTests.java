package org.parsleyhead.runtime.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleyhead.core.api.Endpoint;

@DisplayName("A settings reader")
class SettingsReaderTests {

  private static final Endpoint FALLBACK = new Endpoint("127.0.0.1", 1);

  @Nested
  @DisplayName("returns")
  class Returns {

    @Test
    @DisplayName("values of each type and defaults of absent paths")
    void values() {
      SettingsReader reader =
          SettingsReader.parse(
              """
              names = ["a", "b"]
              [callers]
              endpoint = "127.0.0.1:8080"
              idle = "250 ms"
              body = "16 MiB"
              share = 0.5
              open = true
              streams = 5_000
              """);
      assertEquals(
          Endpoint.parse("127.0.0.1:8080"),
          reader.value("callers.endpoint", Endpoint::parse, FALLBACK));
      assertEquals(Duration.ofMillis(250), reader.duration("callers.idle", Duration.ZERO));
      assertEquals(16 << 20, reader.bytes("callers.body", 0));
      assertEquals(0.5, reader.fraction("callers.share", 0, 1, 0));
      assertTrue(reader.flag("callers.open", false));
      assertEquals(5_000, reader.number("callers.streams", 1, 10_000, 1));
      assertEquals(List.of("a", "b"), reader.texts("names"));
      assertEquals("none", reader.text("callers.name", "none"));
      reader.finish();
    }

    @ParameterizedTest(name = "{0} as {1} ms")
    @DisplayName("durations in each unit")
    @CsvSource({"7 ms, 7", "7ms, 7", "2 s, 2000", "3 min, 180000", "1 h, 3600000"})
    void durations(String text, long milliseconds) {
      SettingsReader reader = SettingsReader.parse("wait = \"" + text + "\"");
      assertEquals(Duration.ofMillis(milliseconds), reader.duration("wait", Duration.ZERO));
    }
  }

  @Nested
  @DisplayName("rejects")
  class Rejects {

    @Test
    @DisplayName("invalid settings with all problems at once, each with its path")
    void allProblems() {
      assertEquals(
          List.of(
              "callers.endpoint: endpoint must have the form address:port",
              "callers.idle: must be a duration with its unit, such as \"250 ms\" (ms, s, min, h);"
                  + " found 250",
              "callers.streams: must be a whole number between 1 and 10; found 11",
              "callers.open: must be true or false; found \"yes\"",
              "host.name: must be a string; it is missing",
              "callers.opne: is not a known setting",
              "peers.port: is not a known setting"),
          problems(
              """
              [callers]
              endpoint = "nowhere"
              idle = 250
              streams = 11
              open = "yes"
              opne = 1
              [peers]
              port = 1
              """,
              reader -> {
                reader.value("callers.endpoint", Endpoint::parse, FALLBACK);
                reader.duration("callers.idle", Duration.ZERO);
                reader.number("callers.streams", 1, 10, 1);
                reader.flag("callers.open", false);
                reader.text("host.name");
              }));
    }

    @Test
    @DisplayName("an invalid combination that the program reports")
    void combinations() {
      assertEquals(
          List.of("a: must be below b"),
          problems(
              "a = 2\nb = 1",
              reader -> {
                if (reader.number("a", 0, 9, 0) >= reader.number("b", 0, 9, 0)) {
                  reader.reject("a", "must be below b");
                }
              }));
    }

    @Test
    @DisplayName("a missing value, and reports it once")
    void missingValue() {
      assertEquals(
          List.of("endpoint: must be a string; it is missing"),
          problems("", reader -> reader.value("endpoint", Endpoint::parse, FALLBACK)));
    }

    @Test
    @DisplayName("numbers and sizes that overflow")
    void overflows() {
      assertEquals(
          2,
          problems(
                  "count = 99999999999999999999\nsize = \"99999999999 GiB\"",
                  reader -> {
                    reader.number("count", 0, Long.MAX_VALUE, 0);
                    reader.bytes("size", 0);
                  })
              .size());
    }

    @Test
    @DisplayName("text that is not TOML, with the line of the error")
    void notToml() {
      SettingsException exception =
          assertThrows(
              SettingsException.class, () -> SettingsReader.parse("[callers]\nendpoint = \n"));
      assertTrue(exception.getMessage().startsWith("line 2:"), exception.getMessage());
    }

    private List<String> problems(String text, Consumer<SettingsReader> reading) {
      SettingsReader reader = SettingsReader.parse(text);
      reading.accept(reader);
      return assertThrows(SettingsException.class, reader::finish).problems();
    }
  }
}
