package org.parsleyhead.core.api;

/**
 * The name of an upstream: a model server or a plain service.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record UpstreamName(String text) implements Comparable<UpstreamName> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public UpstreamName {
    Preconditions.requireName(text, "upstreamName");
  }

  @Override
  public int compareTo(UpstreamName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
