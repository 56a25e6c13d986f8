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
 * Collects the lines of an experiment, prints each at once and writes them as tables in Markdown.
 *
 * <p>Confined to one thread.
 */
public final class Report {

  private final String name;
  private final String command;
  private final PrintStream output;
  private final List<Figures> lines = new ArrayList<>();

  /** Creates an empty report on the run of a command. */
  public Report(String name, String command, PrintStream output) {
    this.name = name;
    this.command = command;
    this.output = output;
  }

  /** Adds and prints a line. */
  public void add(Figures figures) {
    lines.add(figures);
    output.println(figures.text());
  }

  /** Writes the report to {@code NAME.md} in a folder. */
  public void write(Path folder) {
    try {
      Files.createDirectories(folder);
      Files.writeString(folder.resolve(name + ".md"), markdown());
    } catch (IOException exception) {
      throw new FleetException("cannot write the report on " + name, exception);
    }
  }

  String markdown() {
    StringBuilder text = new StringBuilder("# Measurement: " + name + "\n\n");
    text.append("Command: `").append(command).append("`\n");
    byTable().forEach((table, rows) -> appendTable(text, table, rows));
    return text.toString();
  }

  private Map<String, List<Figures>> byTable() {
    return lines.stream()
        .collect(Collectors.groupingBy(Figures::table, LinkedHashMap::new, Collectors.toList()));
  }

  private static void appendTable(StringBuilder text, String table, List<Figures> rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> columns.addAll(row.values().keySet()));
    text.append("\n## ").append(table.replace('_', ' ')).append("\n\n");
    appendRow(text, columns.stream().map(column -> column.replace('_', ' ')).toList());
    appendRow(text, columns.stream().map(column -> "---").toList());
    for (Figures row : rows) {
      appendRow(
          text, columns.stream().map(column -> row.values().getOrDefault(column, "")).toList());
    }
  }

  private static void appendRow(StringBuilder text, List<String> cells) {
    text.append("| ").append(String.join(" | ", cells)).append(" |\n");
  }
}
