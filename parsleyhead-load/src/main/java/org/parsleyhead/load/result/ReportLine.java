package org.parsleyhead.load.result;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A line of a report with its kind and its ordered fields.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of the line
 * @param fields the fields in output order
 */
public record ReportLine(String kind, List<Field> fields) {

  /** Makes a defensive copy of the fields. */
  public ReportLine {
    fields = List.copyOf(fields);
  }

  /** A field with its formatted value; {@code number} states whether the value is numeric. */
  public record Field(String name, String value, boolean number) {}

  /** Returns a line without fields. */
  public static ReportLine of(String kind) {
    return new ReportLine(kind, List.of());
  }

  /** Returns this line with a text field added; an empty text is replaced by a dash. */
  public ReportLine with(String name, String value) {
    return with(new Field(name, value.isEmpty() ? "-" : value, false));
  }

  /** Returns this line with an integer field added. */
  public ReportLine with(String name, long value) {
    return with(new Field(name, Long.toString(value), true));
  }

  /** Returns this line with a decimal field added, rounded to three decimal places. */
  public ReportLine with(String name, double value) {
    return with(new Field(name, String.format(Locale.ROOT, "%.3f", value), true));
  }

  private ReportLine with(Field field) {
    List<Field> extended = new ArrayList<>(fields);
    extended.add(field);
    return new ReportLine(kind, extended);
  }

  /** Returns the line as {@code key=value} pairs. */
  public String text() {
    StringBuilder text = new StringBuilder("report=").append(kind);
    for (Field field : fields) {
      String value = field.value().replace('"', '\'');
      boolean quoted = value.indexOf(' ') >= 0 || value.indexOf('=') >= 0;
      text.append(' ').append(field.name()).append('=');
      text.append(quoted ? '"' + value + '"' : value);
    }
    return text.toString();
  }

  /** Returns the line as a JSON object. */
  public ObjectNode json() {
    ObjectNode node = JsonNodeFactory.instance.objectNode().put("report", kind);
    for (Field field : fields) {
      if (field.number()) {
        node.put(field.name(), Double.parseDouble(field.value()));
      } else {
        node.put(field.name(), field.value());
      }
    }
    return node;
  }
}
