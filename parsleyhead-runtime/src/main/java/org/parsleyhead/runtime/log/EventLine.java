package org.parsleyhead.runtime.log;

/**
 * Formats key=value pairs as one line. Values with spaces, quotes, equals signs or characters
 * outside printable ASCII are quoted, and so are empty values.
 *
 * <p>Stateless and thread-safe.
 */
public final class EventLine {

  private EventLine() {}

  /** Returns the line for alternating keys and values. */
  public static String of(Object... keysAndValues) {
    StringBuilder line = new StringBuilder();
    for (int index = 0; index + 1 < keysAndValues.length; index += 2) {
      if (index > 0) {
        line.append(' ');
      }
      line.append(keysAndValues[index]).append('=');
      appendValue(line, String.valueOf(keysAndValues[index + 1]));
    }
    return line.toString();
  }

  private static void appendValue(StringBuilder line, String value) {
    boolean plain = !value.isEmpty() && value.chars().allMatch(EventLine::isPlain);
    if (plain) {
      line.append(value);
      return;
    }
    line.append('"');
    value.chars().forEach(character -> appendQuoted(line, (char) character));
    line.append('"');
  }

  private static void appendQuoted(StringBuilder line, char character) {
    if (character == '"' || character == '\\') {
      line.append('\\').append(character);
    } else {
      line.append(Character.isISOControl(character) ? ' ' : character);
    }
  }

  private static boolean isPlain(int character) {
    return character > ' ' && character < 127 && character != '"' && character != '=';
  }
}
