package org.parsleyhead.core.api;

/**
 * The name of a route.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record RouteName(String text) implements Comparable<RouteName> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public RouteName {
    Preconditions.requireName(text, "routeName");
  }

  @Override
  public int compareTo(RouteName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
