package org.parsleyhead.runtime.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.parsleyhead.core.api.Preconditions;

/**
 * The name of a metric with its labels, as the registry keys it.
 *
 * <p>Immutable and thread-safe. Names ending in {@value #TOTAL_SUFFIX} only grow.
 *
 * @param family the name of the family
 * @param labels the labels in order
 */
public record MetricName(String family, List<Label> labels) {

  /** Marks families whose values only grow. */
  public static final String TOTAL_SUFFIX = "_total";

  private static final Pattern FAMILY = Pattern.compile("[a-z_][a-z0-9_]*");

  /** Checks and copies the parts. */
  public MetricName {
    Preconditions.requireNonNull(family, "family");
    Preconditions.require(
        FAMILY.matcher(family).matches(), "family", "must hold lower-case letters, digits and _");
    labels = List.copyOf(labels);
  }

  /** Returns a name without labels. */
  public static MetricName of(String family) {
    return new MetricName(family, List.of());
  }

  /** Returns this name with one more label. */
  public MetricName with(String label, String value) {
    List<Label> extended = new ArrayList<>(labels);
    extended.add(new Label(label, value));
    return new MetricName(family, extended);
  }

  /** Returns the key in the registry, which is also the name in the Prometheus text form. */
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
   * @param value any text
   */
  public record Label(String name, String value) {

    /** Checks the parts. */
    public Label {
      Preconditions.requireNonNull(name, "label");
      Preconditions.require(
          FAMILY.matcher(name).matches(), "label", "must hold lower-case letters, digits and _");
      Preconditions.requireNonNull(value, "value");
    }

    String text() {
      String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
      return name + "=\"" + escaped + "\"";
    }
  }
}
