package org.parsleyhead.core.api;

/**
 * The name of an entry host as the host list publishes it.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record HostName(String text) implements Comparable<HostName> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public HostName {
    Preconditions.requireName(text, "hostName");
  }

  @Override
  public int compareTo(HostName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
