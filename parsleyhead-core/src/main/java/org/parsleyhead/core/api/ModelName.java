package org.parsleyhead.core.api;

/**
 * The name of a base model.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record ModelName(String text) implements Comparable<ModelName> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public ModelName {
    Preconditions.requireName(text, "modelName");
  }

  @Override
  public int compareTo(ModelName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
