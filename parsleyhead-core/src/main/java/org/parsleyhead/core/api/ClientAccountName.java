package org.parsleyhead.core.api;

/**
 * The name of a client account.
 *
 * <p>Immutable and thread-safe. The text is never blank.
 *
 * @param text the text, at most {@value Preconditions#MAXIMUM_NAME_LENGTH} characters
 */
public record ClientAccountName(String text) implements Comparable<ClientAccountName> {

  /**
   * Validates the text.
   *
   * @throws InvalidValueException if the text is not a valid name
   */
  public ClientAccountName {
    Preconditions.requireName(text, "clientAccountName");
  }

  @Override
  public int compareTo(ClientAccountName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
