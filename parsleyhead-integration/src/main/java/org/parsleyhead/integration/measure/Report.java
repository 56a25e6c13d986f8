package org.parsleyhead.integration.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.parsleyhead.integration.fleet.FleetException;

/**
 * Collects the rows of an experiment, prints each immediately and writes them as Markdown tables.
 *
 * <p>Confined to one thread.
 */
public final class Report {

  private final String name;
  private final String command;
  private final PrintStream output;
  private final List<ReportRow> rows = new ArrayList<>();

  /** Creates an empty report for one run of a command. */
  public Report(String name, String command, PrintStream output) {
    this.name = name;
    this.command = command;
    this.output = output;
  }

  /** Adds and prints a row. */
  public void add(ReportRow row) {
    rows.add(row);
    output.println(row.text());
  }

  /** Writes the report to {@code NAME.md} in a directory, which is created if necessary. */
  public void write(Path folder) {
    try {
      Files.createDirectories(folder);
      Files.writeString(folder.resolve(name + ".md"), markdown());
    } catch (IOException exception) {
      throw new FleetException("cannot write the report of " + name, exception);
    }
  }

  String markdown() {
    StringBuilder text = new StringBuilder("# Measurement: " + name + "\n\n");
    text.append("Command: `").append(command).append("`\n");
    byTable().forEach((table, rows) -> appendTable(text, table, rows));
    return text.toString();
  }

  private Map<String, List<ReportRow>> byTable() {
    return rows.stream()
        .collect(Collectors.groupingBy(ReportRow::table, LinkedHashMap::new, Collectors.toList()));
  }

  private static void appendTable(StringBuilder text, String table, List<ReportRow> rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> columns.addAll(row.values().keySet()));
    text.append("\n## ").append(table.replace('_', ' ')).append("\n\n");
    appendRow(text, columns.stream().map(column -> column.replace('_', ' ')).toList());
    appendRow(text, columns.stream().map(column -> "---").toList());
    for (ReportRow row : rows) {
      appendRow(
          text, columns.stream().map(column -> row.values().getOrDefault(column, "")).toList());
    }
  }

  private static void appendRow(StringBuilder text, List<String> cells) {
    text.append("| ").append(String.join(" | ", cells)).append(" |\n");
  }
}
