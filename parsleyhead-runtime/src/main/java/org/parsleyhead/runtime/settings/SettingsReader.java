package org.parsleyhead.runtime.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.parsleyhead.core.api.InvalidValueException;

/**
 * Reads settings by their paths and collects all problems instead of stopping at the first.
 *
 * <p>Confined to one thread. Each getter marks its path as known. A getter that finds a problem
 * records it and returns a fallback value. {@link #finish()} rejects the settings if any problem
 * was recorded or the document contains a path that no getter requested.
 */
public final class SettingsReader {

  private static final Pattern QUANTITY = Pattern.compile("([0-9]+) ?([A-Za-z]+)");
  private static final int MAXIMUM_DIGITS = 12;
  private static final Map<String, Long> DURATION_UNITS_IN_MILLISECONDS =
      Map.of("ms", 1L, "s", 1_000L, "min", 60_000L, "h", 3_600_000L);
  private static final Map<String, Long> SIZE_UNITS_IN_BYTES =
      Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

  private final JsonNode root;
  private final Set<String> requestedPaths = new HashSet<>();
  private final List<String> problems = new ArrayList<>();

  private SettingsReader(JsonNode root) {
    this.root = root;
  }

  /**
   * Parses a TOML document.
   *
   * @throws SettingsException if the text is not valid TOML; the message states the line
   */
  public static SettingsReader parse(String text) {
    try {
      return new SettingsReader(new TomlMapper().readTree(text));
    } catch (JsonProcessingException exception) {
      int line = exception.getLocation() == null ? 0 : exception.getLocation().getLineNr();
      throw new SettingsException(
          List.of("line " + line + ": not TOML: " + exception.getOriginalMessage()));
    }
  }

  /** Returns a string. */
  public String text(String path) {
    JsonNode node = find(path);
    if (!node.isTextual()) {
      return reportProblem(path, "must be a string", node, "missing");
    }
    return node.textValue();
  }

  /** Returns a string, or a default if the path is absent. */
  public String text(String path, String defaultValue) {
    return isAbsent(path) ? defaultValue : text(path);
  }

  /** Returns a string converted by a parser, or the fallback if the value is invalid. */
  public <T> T value(String path, Function<String, T> parser, T fallback) {
    JsonNode node = find(path);
    if (!node.isTextual()) {
      return reportProblem(path, "must be a string", node, fallback);
    }
    try {
      return parser.apply(node.textValue());
    } catch (InvalidValueException exception) {
      problems.add(path + ": " + exception.getMessage());
      return fallback;
    }
  }

  /** Returns an integer within a range, or a default if the path is absent. */
  public long number(String path, long minimum, long maximum, long defaultValue) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    boolean integer = node.isIntegralNumber() && node.canConvertToLong();
    if (!integer || node.longValue() < minimum || node.longValue() > maximum) {
      return reportProblem(
          path,
          "must be a whole number between " + minimum + " and " + maximum,
          node,
          defaultValue);
    }
    return node.longValue();
  }

  /** Returns a number within a range, or a default if the path is absent. */
  public double fraction(String path, double minimum, double maximum, double defaultValue) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    if (!node.isNumber() || node.doubleValue() < minimum || node.doubleValue() > maximum) {
      return reportProblem(
          path, "must be a number between " + minimum + " and " + maximum, node, defaultValue);
    }
    return node.doubleValue();
  }

  /** Returns a boolean, or a default if the path is absent. */
  public boolean flag(String path, boolean defaultValue) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    return node.isBoolean()
        ? node.booleanValue()
        : reportProblem(path, "must be true or false", node, defaultValue);
  }

  /** Returns a duration written as {@code "250 ms"}, or a default if the path is absent. */
  public Duration duration(String path, Duration defaultValue) {
    return quantity(
        path,
        DURATION_UNITS_IN_MILLISECONDS,
        "must be a duration with its unit, such as \"250 ms\" (ms, s, min, h)",
        defaultValue,
        Duration::ofMillis);
  }

  /** Returns a size in bytes written as {@code "16 MiB"}, or a default if the path is absent. */
  public long bytes(String path, long defaultValue) {
    return quantity(
        path,
        SIZE_UNITS_IN_BYTES,
        "must be a size with its unit, such as \"16 MiB\" (B, KiB, MiB, GiB)",
        defaultValue,
        Function.identity());
  }

  /** Returns a list of strings, or an empty list if the path is absent. */
  public List<String> texts(String path) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode element : node) {
      if (!element.isTextual()) {
        return reportProblem(path, "must be a list of strings", node, List.of());
      }
      texts.add(element.textValue());
    }
    return node.isArray()
        ? texts
        : reportProblem(path, "must be a list of strings", node, List.of());
  }

  /** Returns the keys of a table in document order, or an empty list if the path is absent. */
  public List<String> names(String path) {
    List<String> names = new ArrayList<>();
    JsonNode table = at(path);
    if (!table.isObject() && !table.isMissingNode()) {
      return reportProblem(path, "must be a table", find(path), List.of());
    }
    table.fieldNames().forEachRemaining(names::add);
    return names;
  }

  /** Records a problem with a path, such as an invalid combination of settings. */
  public void reject(String path, String problem) {
    problems.add(path + ": " + problem);
  }

  /**
   * Completes the reading and rejects invalid settings.
   *
   * @throws SettingsException if any problem was recorded or a path was not requested
   */
  public void finish() {
    reportUnknownPaths("", root);
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
  }

  private <T> T quantity(
      String path,
      Map<String, Long> units,
      String expectation,
      T defaultValue,
      Function<Long, T> converter) {
    JsonNode node = find(path);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    Matcher matcher = QUANTITY.matcher(node.isTextual() ? node.textValue() : "");
    Long unit = matcher.matches() ? units.get(matcher.group(2)) : null;
    if (unit == null || matcher.group(1).length() > MAXIMUM_DIGITS) {
      return reportProblem(path, expectation, node, defaultValue);
    }
    long count = Long.parseLong(matcher.group(1));
    if (count > Long.MAX_VALUE / unit) {
      return reportProblem(path, "is too large", node, defaultValue);
    }
    return converter.apply(count * unit);
  }

  private boolean isAbsent(String path) {
    return find(path).isMissingNode();
  }

  private JsonNode find(String path) {
    requestedPaths.add(path);
    return at(path);
  }

  private JsonNode at(String path) {
    JsonNode node = root;
    for (String name : path.split("\\.")) {
      node = node.path(name);
    }
    return node;
  }

  private <T> T reportProblem(String path, String expectation, JsonNode found, T fallback) {
    problems.add(
        path
            + ": "
            + expectation
            + (found.isMissingNode() ? "; it is missing" : "; found " + found));
    return fallback;
  }

  private void reportUnknownPaths(String path, JsonNode node) {
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      String child = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
      if (field.getValue().isObject() && !requestedPaths.contains(child)) {
        reportUnknownPaths(child, field.getValue());
      } else if (!requestedPaths.contains(child)) {
        problems.add(child + ": is not a known setting");
      }
    }
  }
}
