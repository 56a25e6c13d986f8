package org.parsleyhead.codec.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.InvalidValueException;

/**
 * Typed access to the fields of one JSON object, with errors that name the path of the field.
 *
 * <p>Immutable and thread-safe as long as nobody changes the node.
 */
public final class JsonFields {

  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

  private final String path;
  private final JsonNode node;

  private JsonFields(String path, JsonNode node) {
    this.path = path;
    this.node = node;
  }

  /**
   * Parses a document whose root is an object.
   *
   * @throws CodecException if the bytes are no such document
   */
  public static JsonFields parse(byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (node == null || !node.isObject()) {
        throw new CodecException(CodecException.MALFORMED, "document must be a JSON object");
      }
      return new JsonFields("", node);
    } catch (JsonProcessingException exception) {
      throw new CodecException(
          CodecException.MALFORMED, "not JSON: " + exception.getOriginalMessage(), exception);
    } catch (IOException exception) {
      throw new CodecException(CodecException.MALFORMED, "not JSON", exception);
    }
  }

  /**
   * Refuses fields that are not listed.
   *
   * @throws CodecException if the object has another field
   */
  public JsonFields allowOnly(String... names) {
    Set<String> allowed = Set.of(names);
    Set<String> unknown = new TreeSet<>();
    node.fieldNames().forEachRemaining(unknown::add);
    unknown.removeAll(allowed);
    if (!unknown.isEmpty()) {
      throw error(unknown.iterator().next(), "is unknown");
    }
    return this;
  }

  /**
   * Creates a value from fields and turns an error of a core type into one of this layer.
   *
   * @throws CodecException if the fields have another form or the core type refuses them
   */
  static <T> T checked(Supplier<T> reading) {
    try {
      return reading.get();
    } catch (InvalidValueException exception) {
      throw new CodecException(CodecException.MALFORMED, exception.getMessage(), exception);
    }
  }

  /** Tells whether a field is present and not null. */
  public boolean has(String name) {
    return node.hasNonNull(name);
  }

  /** Returns a text field. */
  public String text(String name) {
    JsonNode value = node.path(name);
    if (!value.isTextual()) {
      throw error(name, "must be a string");
    }
    return value.textValue();
  }

  /** Returns a whole number. */
  public long number(String name) {
    JsonNode value = node.path(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw error(name, "must be a whole number");
    }
    return value.longValue();
  }

  /** Returns a whole number that fits an int. */
  public int smallNumber(String name) {
    long value = number(name);
    if (value != (int) value) {
      throw error(name, "is out of range");
    }
    return (int) value;
  }

  /** Returns a truth value. */
  public boolean flag(String name) {
    JsonNode value = node.path(name);
    if (!value.isBoolean()) {
      throw error(name, "must be true or false");
    }
    return value.booleanValue();
  }

  /** Returns an object field. */
  public JsonFields object(String name) {
    JsonNode value = node.path(name);
    if (!value.isObject()) {
      throw error(name, "must be an object");
    }
    return new JsonFields(pathOf(name), value);
  }

  /** Returns a list of objects. */
  public List<JsonFields> objects(String name) {
    List<JsonFields> objects = new ArrayList<>();
    JsonNode list = list(name);
    for (int index = 0; index < list.size(); index++) {
      if (!list.get(index).isObject()) {
        throw error(name + "[" + index + "]", "must be an object");
      }
      objects.add(new JsonFields(pathOf(name) + "[" + index + "]", list.get(index)));
    }
    return objects;
  }

  /** Returns a list of texts. */
  public List<String> texts(String name) {
    List<String> texts = new ArrayList<>();
    for (JsonNode element : list(name)) {
      if (!element.isTextual()) {
        throw error(name, "must hold strings only");
      }
      texts.add(element.textValue());
    }
    return texts;
  }

  /** Returns a list of whole numbers. */
  public List<Integer> smallNumbers(String name) {
    List<Integer> numbers = new ArrayList<>();
    for (JsonNode element : list(name)) {
      if (!element.isInt()) {
        throw error(name, "must hold whole numbers only");
      }
      numbers.add(element.intValue());
    }
    return numbers;
  }

  /** Returns an error that names a field of this object. */
  public CodecException error(String name, String expectation) {
    return new CodecException(CodecException.MALFORMED, pathOf(name) + " " + expectation);
  }

  private JsonNode list(String name) {
    JsonNode value = node.path(name);
    if (!value.isArray()) {
      throw error(name, "must be a list");
    }
    return value;
  }

  private String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }
}
