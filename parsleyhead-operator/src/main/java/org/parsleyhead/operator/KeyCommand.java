package org.parsleyhead.operator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.parsleyhead.runtime.command.Command;
import org.parsleyhead.runtime.command.CommandDescription;
import org.parsleyhead.runtime.command.CommandException;
import org.parsleyhead.runtime.command.Console;
import org.parsleyhead.runtime.command.ExitStatus;

/**
 * The command that prints the digest of an API key. The key is read from the standard input because
 * other users of a machine can read the arguments of a process.
 *
 * <p>Stateless and thread-safe.
 */
final class KeyCommand {

  private static final String DIGEST_ALGORITHM = "SHA-256";

  private KeyCommand() {}

  static Command command() {
    return new Command(
        new CommandDescription(
            "digest-key",
            List.of(),
            List.of(),
            "Reads a key from the first line of the standard input and prints its digest."),
        (arguments, console) -> {
          console.output().println(digest(readKey(console)));
          return ExitStatus.SUCCESS;
        });
  }

  private static String readKey(Console console) {
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(console.input(), StandardCharsets.UTF_8));
    try {
      String key = reader.readLine();
      if (key == null || key.isBlank() || !key.equals(key.strip())) {
        throw CommandException.usage(
            "the first line of the standard input must be the key, without surrounding whitespace");
      }
      return key;
    } catch (IOException exception) {
      throw CommandException.failed("cannot read the standard input: " + exception, exception);
    }
  }

  private static String digest(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance(DIGEST_ALGORITHM);
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException exception) {
      throw CommandException.failed(
          "this Java runtime does not support " + DIGEST_ALGORITHM, exception);
    }
  }
}
