package org.parsleyhead.integration.measure;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A row of a report: values by their names, in order.
 *
 * <p>Immutable and thread-safe.
 *
 * @param table the table that the row belongs to
 * @param values the values by their names, in order
 */
public record ReportRow(String table, Map<String, String> values) {

  /** Copies the values, in their order. */
  public ReportRow {
    values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
  }

  /** Returns a row without values. */
  public static ReportRow of(String table) {
    return new ReportRow(table, Map.of());
  }

  /** Returns this row with a text value. */
  public ReportRow with(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(values);
    more.put(name, value);
    return new ReportRow(table, more);
  }

  /** Returns this row with an integer value. */
  public ReportRow with(String name, long value) {
    return with(name, Long.toString(value));
  }

  /** Returns this row with a numeric value, rounded to three decimal places. */
  public ReportRow with(String name, double value) {
    return with(name, String.format(Locale.ROOT, "%.3f", value));
  }

  /** Returns a value as a number; zero if it is missing. */
  public double number(String name) {
    return Double.parseDouble(values.getOrDefault(name, "0"));
  }

  /** Returns the row as pairs of names and values, with the table first. */
  public String text() {
    return "table="
        + table
        + values.entrySet().stream()
            .map(entry -> " " + entry.getKey() + "=" + entry.getValue())
            .collect(Collectors.joining());
  }
}
