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
 * Typed access to the fields of a JSON object. Exceptions name the path of the invalid field.
 *
 * <p>Immutable and thread-safe, because the node is not modified after it was parsed.
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
   * @throws CodecException if the bytes are not such a document
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
   * Rejects fields other than the given ones.
   *
   * @return this object
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
   * Creates a value from fields and translates an {@link InvalidValueException} of a core type.
   *
   * @throws CodecException if the fields are malformed or the core type rejects them
   */
  static <T> T translateErrors(Supplier<T> reader) {
    try {
      return reader.get();
    } catch (InvalidValueException exception) {
      throw new CodecException(CodecException.MALFORMED, exception.getMessage(), exception);
    }
  }

  /** Returns whether a field is present and not null. */
  public boolean has(String name) {
    return node.hasNonNull(name);
  }

  /**
   * Returns the value of a string field.
   *
   * @throws CodecException if the field is missing or not a string
   */
  public String text(String name) {
    JsonNode value = node.path(name);
    if (!value.isTextual()) {
      throw error(name, "must be a string");
    }
    return value.textValue();
  }

  /**
   * Returns the value of an integer field.
   *
   * @throws CodecException if the field is missing or not an integer that fits a long
   */
  public long longValue(String name) {
    JsonNode value = node.path(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw error(name, "must be a whole number");
    }
    return value.longValue();
  }

  /**
   * Returns the value of an integer field.
   *
   * @throws CodecException if the field is missing or not an integer that fits an int
   */
  public int intValue(String name) {
    long value = longValue(name);
    if (value != (int) value) {
      throw error(name, "is out of range");
    }
    return (int) value;
  }

  /**
   * Returns the value of a boolean field.
   *
   * @throws CodecException if the field is missing or not a boolean
   */
  public boolean booleanValue(String name) {
    JsonNode value = node.path(name);
    if (!value.isBoolean()) {
      throw error(name, "must be true or false");
    }
    return value.booleanValue();
  }

  /**
   * Returns the value of an object field.
   *
   * @throws CodecException if the field is missing or not an object
   */
  public JsonFields object(String name) {
    JsonNode value = node.path(name);
    if (!value.isObject()) {
      throw error(name, "must be an object");
    }
    return new JsonFields(pathOf(name), value);
  }

  /**
   * Returns the elements of an array of objects.
   *
   * @throws CodecException if the field is missing or not an array of objects
   */
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

  /**
   * Returns the elements of an array of strings.
   *
   * @throws CodecException if the field is missing or not an array of strings
   */
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

  /**
   * Returns the elements of an array of integers.
   *
   * @throws CodecException if the field is missing or not an array of integers that fit an int
   */
  public List<Integer> intValues(String name) {
    List<Integer> numbers = new ArrayList<>();
    for (JsonNode element : list(name)) {
      if (!element.isInt()) {
        throw error(name, "must hold whole numbers only");
      }
      numbers.add(element.intValue());
    }
    return numbers;
  }

  /** Returns an exception whose message names a field of this object. */
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
