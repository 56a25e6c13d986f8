package org.parsleyhead.runtime.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.parsleyhead.core.api.Preconditions;

/**
 * The name of a metric with its labels.
 *
 * <p>Immutable and thread-safe. Metrics whose names end in {@value #TOTAL_SUFFIX} are counters,
 * which never decrease.
 *
 * @param family the name of the metric family
 * @param labels the labels in order
 */
public record MetricName(String family, List<Label> labels) {

  /** The suffix of families whose values never decrease. */
  public static final String TOTAL_SUFFIX = "_total";

  private static final Pattern VALID_NAME = Pattern.compile("[a-z_][a-z0-9_]*");

  /** Validates the family and copies the labels. */
  public MetricName {
    Preconditions.requireNonNull(family, "family");
    Preconditions.require(
        VALID_NAME.matcher(family).matches(),
        "family",
        "must contain only lower-case letters, digits and _");
    labels = List.copyOf(labels);
  }

  /** Returns a name without labels. */
  public static MetricName of(String family) {
    return new MetricName(family, List.of());
  }

  /** Returns this name with a further label. */
  public MetricName with(String label, String value) {
    List<Label> extended = new ArrayList<>(labels);
    extended.add(new Label(label, value));
    return new MetricName(family, extended);
  }

  /** Returns the key in the registry, which is also the name in the Prometheus text format. */
  public String text() {
    if (labels.isEmpty()) {
      return family;
    }
    return family + "{" + String.join(",", labels.stream().map(Label::text).toList()) + "}";
  }

  @Override
  public String toString() {
    return text();
  }

  /**
   * A label with its value.
   *
   * @param name the name of the label
   * @param value the value, any text
   */
  public record Label(String name, String value) {

    /** Validates the name and requires a value. */
    public Label {
      Preconditions.requireNonNull(name, "label");
      Preconditions.require(
          VALID_NAME.matcher(name).matches(),
          "label",
          "must contain only lower-case letters, digits and _");
      Preconditions.requireNonNull(value, "value");
    }

    String text() {
      String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
      return name + "=\"" + escaped + "\"";
    }
  }
}
