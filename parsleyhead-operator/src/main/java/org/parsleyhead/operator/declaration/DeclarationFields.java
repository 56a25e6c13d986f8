package org.parsleyhead.operator.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.parsleyhead.core.api.InvalidValueException;

/**
 * Reads the fields of one table and reports all problems instead of stopping at the first.
 *
 * <p>Confined to one thread. Each getter marks its field as known and returns empty after it
 * reported a problem.
 */
final class DeclarationFields {

  private final String path;
  private final JsonNode table;
  private final Consumer<Problem> problems;
  private final String file;
  private final Set<String> requestedFields = new HashSet<>();

  DeclarationFields(String file, String path, JsonNode table, Consumer<Problem> problems) {
    this.file = file;
    this.path = path;
    this.table = table;
    this.problems = problems;
  }

  /** Returns a string converted by a parser. */
  <T> Optional<T> value(String field, Function<String, T> parser) {
    JsonNode node = find(field);
    if (!node.isTextual()) {
      return reportProblem(field, "must be a string", node);
    }
    return parseValue(field, () -> parser.apply(node.textValue()));
  }

  /** Returns a non-negative integer. */
  Optional<Long> number(String field) {
    JsonNode node = find(field);
    boolean valid = node.isIntegralNumber() && node.canConvertToLong() && node.longValue() >= 0;
    return valid
        ? Optional.of(node.longValue())
        : reportProblem(field, "must be a whole number, zero or more", node);
  }

  /** Returns a non-negative integer in the range of an int. */
  Optional<Integer> integer(String field) {
    Optional<Long> number = number(field);
    if (number.isPresent() && number.get() > Integer.MAX_VALUE) {
      return reportProblem(field, "is too large", table.get(field));
    }
    return number.map(Long::intValue);
  }

  /** Returns a boolean, false if the field is absent. */
  Optional<Boolean> flag(String field) {
    JsonNode node = find(field);
    if (node.isMissingNode()) {
      return Optional.of(false);
    }
    return node.isBoolean()
        ? Optional.of(node.booleanValue())
        : reportProblem(field, "must be true or false", node);
  }

  /** Returns the constant with a name, which is written in lower case. */
  <E extends Enum<E>> Optional<E> constant(String field, E[] constants) {
    List<String> names = new ArrayList<>();
    JsonNode node = find(field);
    for (E constant : constants) {
      String name = constant.name().toLowerCase(Locale.ROOT);
      if (name.equals(node.textValue())) {
        return Optional.of(constant);
      }
      names.add(name);
    }
    return reportProblem(field, "must be one of " + String.join(", ", names), node);
  }

  /** Returns the constant with a name, or a default if the field is absent. */
  <E extends Enum<E>> Optional<E> constant(String field, E[] constants, E defaultValue) {
    return find(field).isMissingNode() ? Optional.of(defaultValue) : constant(field, constants);
  }

  /**
   * Returns the distinct strings of a list, each converted by a parser; empty if the field is
   * absent.
   */
  <T> Optional<Set<T>> values(String field, Function<String, T> parser) {
    JsonNode node = find(field);
    return node.isMissingNode()
        ? Optional.of(Set.of())
        : distinct(
            field,
            node,
            "must be a list of strings",
            element -> element.isTextual() ? parser.apply(element.textValue()) : null);
  }

  /** Returns the distinct integers of a list. */
  Optional<Set<Integer>> integers(String field) {
    return distinct(
        field,
        find(field),
        "must be a list of whole numbers",
        element -> element.isInt() ? element.intValue() : null);
  }

  /** Returns a nested table, if it is present. */
  Optional<DeclarationFields> table(String field) {
    JsonNode node = find(field);
    if (node.isMissingNode()) {
      return Optional.empty();
    }
    if (!node.isObject()) {
      return reportProblem(field, "must be a table", node);
    }
    return Optional.of(new DeclarationFields(file, path + "." + field, node, problems));
  }

  /** Returns whether a field is present. */
  boolean has(String field) {
    return table.has(field);
  }

  /** Creates an item from fields that were read without problems; reports the unknown fields. */
  <T> Optional<T> create(Supplier<T> constructor) {
    reportUnknownFields();
    try {
      return Optional.of(constructor.get());
    } catch (InvalidValueException exception) {
      problems.accept(new Problem(file, path, exception.getMessage()));
      return Optional.empty();
    }
  }

  /** Reports each field that no getter requested. */
  void reportUnknownFields() {
    table
        .fieldNames()
        .forEachRemaining(
            field -> {
              if (!requestedFields.contains(field)) {
                problems.accept(new Problem(file, path + "." + field, "is not a known field"));
              }
            });
  }

  private <T> Optional<Set<T>> distinct(
      String field, JsonNode list, String expectation, Function<JsonNode, T> reader) {
    if (!list.isArray()) {
      return reportProblem(field, expectation, list);
    }
    Set<T> values = new LinkedHashSet<>();
    for (JsonNode element : list) {
      Optional<T> value = parseValue(field, () -> reader.apply(element));
      if (value.isEmpty()) {
        return reportProblem(field, expectation, list);
      }
      if (!values.add(value.get())) {
        return reportProblem(field, "contains a duplicate value", list);
      }
    }
    return Optional.of(values);
  }

  private <T> Optional<T> parseValue(String field, Supplier<T> parser) {
    try {
      return Optional.ofNullable(parser.get());
    } catch (InvalidValueException exception) {
      problems.accept(new Problem(file, path + "." + field, exception.getMessage()));
      return Optional.empty();
    }
  }

  private JsonNode find(String field) {
    requestedFields.add(field);
    return table.path(field);
  }

  private <T> Optional<T> reportProblem(String field, String expectation, JsonNode found) {
    String suffix = found.isMissingNode() ? "; it is missing" : "; found " + found;
    problems.accept(new Problem(file, path + "." + field, expectation + suffix));
    return Optional.empty();
  }
}
