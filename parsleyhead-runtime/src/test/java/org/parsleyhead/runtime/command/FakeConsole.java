package org.parsleyhead.runtime.command;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Provides the input of a program and captures its output. */
final class FakeConsole {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final Console console;

  FakeConsole(String input) {
    this.console =
        new Console(
            new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
            new PrintStream(output, true, StandardCharsets.UTF_8),
            new PrintStream(errors, true, StandardCharsets.UTF_8));
  }

  Console console() {
    return console;
  }

  String output() {
    return output.toString(StandardCharsets.UTF_8);
  }

  String errors() {
    return errors.toString(StandardCharsets.UTF_8);
  }
}
