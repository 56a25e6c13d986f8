package org.parsleyhead.integration.measure;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One line of figures: names and values in order.
 *
 * <p>Immutable and thread-safe.
 *
 * @param table the table that the line belongs to
 * @param values the values by their names, in order
 */
public record Figures(String table, Map<String, String> values) {

  /** Copies the values. */
  public Figures {
    values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
  }

  /** Returns a line without values. */
  public static Figures of(String table) {
    return new Figures(table, Map.of());
  }

  /** Returns this line with a text. */
  public Figures with(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(values);
    more.put(name, value);
    return new Figures(table, more);
  }

  /** Returns this line with a whole number. */
  public Figures with(String name, long value) {
    return with(name, Long.toString(value));
  }

  /** Returns this line with a number, rounded to three decimal places. */
  public Figures with(String name, double value) {
    return with(name, String.format(Locale.ROOT, "%.3f", value));
  }

  /** Returns a value as a number; zero if it is missing. */
  public double number(String name) {
    return Double.parseDouble(values.getOrDefault(name, "0"));
  }

  /** Returns the line as pairs of names and values. */
  public String text() {
    return "table="
        + table
        + values.entrySet().stream()
            .map(entry -> " " + entry.getKey() + "=" + entry.getValue())
            .collect(Collectors.joining());
  }
}
