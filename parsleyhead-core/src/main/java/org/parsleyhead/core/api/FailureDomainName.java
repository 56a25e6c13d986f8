package org.parsleyhead.core.api;

/**
 * The name of a failure domain.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record FailureDomainName(String text) implements Comparable<FailureDomainName> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public FailureDomainName {
    Preconditions.requireName(text, "failureDomainName");
  }

  @Override
  public int compareTo(FailureDomainName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
