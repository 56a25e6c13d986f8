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
 * Reads the fields of one table and notes every problem instead of stopping at the first.
 *
 * <p>Confined to one thread. Each getter marks its field as known and returns empty after it noted
 * a problem.
 */
final class DeclarationFields {

  private final String path;
  private final JsonNode table;
  private final Consumer<Problem> problems;
  private final String file;
  private final Set<String> known = new HashSet<>();

  DeclarationFields(String file, String path, JsonNode table, Consumer<Problem> problems) {
    this.file = file;
    this.path = path;
    this.table = table;
    this.problems = problems;
  }

  /** Returns a text in the form of a core type. */
  <T> Optional<T> value(String field, Function<String, T> parser) {
    JsonNode node = find(field);
    if (!node.isTextual()) {
      return problem(field, "must be a string", node);
    }
    return guarded(field, () -> parser.apply(node.textValue()));
  }

  /** Returns a whole number that is not negative. */
  Optional<Long> number(String field) {
    JsonNode node = find(field);
    boolean whole = node.isIntegralNumber() && node.canConvertToLong() && node.longValue() >= 0;
    return whole
        ? Optional.of(node.longValue())
        : problem(field, "must be a whole number, zero or more", node);
  }

  /** Returns a whole number that is not negative and fits an int. */
  Optional<Integer> smallNumber(String field) {
    Optional<Long> number = number(field);
    if (number.isPresent() && number.get() > Integer.MAX_VALUE) {
      return problem(field, "is too large", table.get(field));
    }
    return number.map(Long::intValue);
  }

  /** Returns a truth value, false if it is absent. */
  Optional<Boolean> flag(String field) {
    JsonNode node = find(field);
    if (node.isMissingNode()) {
      return Optional.of(false);
    }
    return node.isBoolean()
        ? Optional.of(node.booleanValue())
        : problem(field, "must be true or false", node);
  }

  /** Returns one of the constants, by its name in lower case. */
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
    return problem(field, "must be one of " + String.join(", ", names), node);
  }

  /** Returns one of the constants, or a default if the field is absent. */
  <E extends Enum<E>> Optional<E> constant(String field, E[] constants, E defaultValue) {
    return find(field).isMissingNode() ? Optional.of(defaultValue) : constant(field, constants);
  }

  /** Returns a list of texts in the form of a core type; empty if it is absent. */
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

  /** Returns a list of whole numbers. */
  Optional<Set<Integer>> smallNumbers(String field) {
    return distinct(
        field,
        find(field),
        "must be a list of whole numbers",
        element -> element.isInt() ? element.intValue() : null);
  }

  /** Returns a table inside this one, if it is present. */
  Optional<DeclarationFields> table(String field) {
    JsonNode node = find(field);
    if (node.isMissingNode()) {
      return Optional.empty();
    }
    if (!node.isObject()) {
      return problem(field, "must be a table", node);
    }
    return Optional.of(new DeclarationFields(file, path + "." + field, node, problems));
  }

  /** Tells whether a field is present. */
  boolean has(String field) {
    return table.has(field);
  }

  /** Creates an item out of fields that were read without problems. */
  <T> Optional<T> create(Supplier<T> constructor) {
    refuseUnknown();
    try {
      return Optional.of(constructor.get());
    } catch (InvalidValueException exception) {
      problems.accept(new Problem(file, path, exception.getMessage()));
      return Optional.empty();
    }
  }

  /** Notes each field that no getter asked for. */
  void refuseUnknown() {
    table
        .fieldNames()
        .forEachRemaining(
            field -> {
              if (!known.contains(field)) {
                problems.accept(new Problem(file, path + "." + field, "is not a known field"));
              }
            });
  }

  private <T> Optional<Set<T>> distinct(
      String field, JsonNode list, String expectation, Function<JsonNode, T> reader) {
    if (!list.isArray()) {
      return problem(field, expectation, list);
    }
    Set<T> values = new LinkedHashSet<>();
    for (JsonNode element : list) {
      Optional<T> value = guarded(field, () -> reader.apply(element));
      if (value.isEmpty()) {
        return problem(field, expectation, list);
      }
      if (!values.add(value.get())) {
        return problem(field, "lists a value twice", list);
      }
    }
    return Optional.of(values);
  }

  private <T> Optional<T> guarded(String field, Supplier<T> reading) {
    try {
      return Optional.ofNullable(reading.get());
    } catch (InvalidValueException exception) {
      problems.accept(new Problem(file, path + "." + field, exception.getMessage()));
      return Optional.empty();
    }
  }

  private JsonNode find(String field) {
    known.add(field);
    return table.path(field);
  }

  private <T> Optional<T> problem(String field, String expectation, JsonNode found) {
    String suffix = found.isMissingNode() ? "; it is missing" : "; found " + found;
    problems.accept(new Problem(file, path + "." + field, expectation + suffix));
    return Optional.empty();
  }
}
