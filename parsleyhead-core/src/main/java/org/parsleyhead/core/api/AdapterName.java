package org.parsleyhead.core.api;

/**
 * The name of a LoRA adapter.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record AdapterName(String text) implements Comparable<AdapterName> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public AdapterName {
    Preconditions.requireName(text, "adapterName");
  }

  @Override
  public int compareTo(AdapterName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
