package org.parsleyhead.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.entry.process.EntrySettings;
import org.parsleyhead.entry.process.EntrySettingsReader;
import org.parsleyhead.runtime.settings.SettingsReader;

@DisplayName("The example settings of an entry host")
class ExampleSettingsTests {

  @ParameterizedTest(name = "for {0}")
  @DisplayName("are valid, and their commented-out lines show the defaults")
  @ValueSource(strings = {"accra", "midlands"})
  void showDefaults(String deployment) throws IOException {
    String text = Files.readString(Path.of("../etc/entry-" + deployment + ".toml"));
    String uncommented = text.replaceAll("(?m)^# ([a-z_]+ = )", "$1");
    assertEquals(read(text), read(uncommented));
  }

  private static EntrySettings read(String text) {
    return EntrySettingsReader.read(SettingsReader.parse(text));
  }
}
