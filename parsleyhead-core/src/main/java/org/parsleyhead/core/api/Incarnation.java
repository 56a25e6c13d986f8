package org.parsleyhead.core.api;

/**
 * The identity of one run of an entry host's process.
 *
 * <p>Immutable and thread-safe. A restarted process has another incarnation and retains no state of
 * the previous one.
 *
 * @param value a number that no other run of this host has, chosen at the start
 */
public record Incarnation(long value) {

  /**
   * Validates the number.
   *
   * @throws InvalidValueException if the number is negative
   */
  public Incarnation {
    Preconditions.requireNonNegative(value, "incarnation");
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(value, Character.MAX_RADIX);
  }
}
