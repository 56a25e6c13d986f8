package org.parsleyhead.core.api;

/**
 * The number of a change ticket.
 *
 * <p>Immutable and thread-safe. A higher number supersedes a lower one.
 *
 * @param value the number; 0 before the first ticket
 */
public record TicketNumber(long value) implements Comparable<TicketNumber> {

  /** The number before the first ticket. */
  public static final TicketNumber NONE = new TicketNumber(0);

  /**
   * Validates the number.
   *
   * @throws InvalidValueException if the number is negative
   */
  public TicketNumber {
    Preconditions.requireNonNegative(value, "ticketNumber");
  }

  /** Returns whether this number supersedes another. */
  public boolean supersedes(TicketNumber other) {
    return value > other.value;
  }

  @Override
  public int compareTo(TicketNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
