package org.parsleyhead.core.api;

/**
 * The identity of one request, unique over all entry hosts.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record RequestIdentifier(String text) implements Comparable<RequestIdentifier> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public RequestIdentifier {
    Preconditions.requireName(text, "requestIdentifier");
  }

  @Override
  public int compareTo(RequestIdentifier other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
