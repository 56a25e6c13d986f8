package org.parsleyhead.core.api;

/**
 * The name of a region, a set of failure domains.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record RegionName(String text) implements Comparable<RegionName> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public RegionName {
    Preconditions.requireName(text, "regionName");
  }

  @Override
  public int compareTo(RegionName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
