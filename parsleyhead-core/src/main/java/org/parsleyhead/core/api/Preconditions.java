package org.parsleyhead.core.api;

import java.util.Collection;

/**
 * Argument checks whose exceptions name the invalid argument.
 *
 * <p>Stateless and thread-safe.
 */
public final class Preconditions {

  /** Maximum length of a name, in characters. */
  public static final int MAXIMUM_NAME_LENGTH = 200;

  private Preconditions() {}

  /**
   * Requires a value not to be null.
   *
   * @throws InvalidValueException if the value is null
   */
  public static <T> T requireNonNull(T value, String argument) {
    if (value == null) {
      throw new InvalidValueException(argument, "must not be null");
    }
    return value;
  }

  /**
   * Requires a name of printable characters without spaces.
   *
   * @throws InvalidValueException if the name is null, blank or too long, or contains other
   *     characters
   */
  public static String requireName(String value, String argument) {
    requireNonNull(value, argument);
    require(!value.isBlank(), argument, "must not be blank");
    require(
        value.length() <= MAXIMUM_NAME_LENGTH,
        argument,
        "must have at most " + MAXIMUM_NAME_LENGTH + " characters");
    require(
        value.chars().allMatch(character -> character > ' ' && character < 127),
        argument,
        "must hold printable ASCII characters without spaces");
    return value;
  }

  /**
   * Requires a number not to be negative.
   *
   * @throws InvalidValueException if the value is negative
   */
  public static long requireNonNegative(long value, String argument) {
    require(value >= 0, argument, "must not be negative");
    return value;
  }

  /**
   * Requires a number to be positive.
   *
   * @throws InvalidValueException if the value is zero or negative
   */
  public static long requirePositive(long value, String argument) {
    require(value > 0, argument, "must be positive");
    return value;
  }

  /**
   * Requires a collection to have at least one element.
   *
   * @throws InvalidValueException if the collection is null or empty
   */
  public static <C extends Collection<?>> C requireNotEmpty(C value, String argument) {
    requireNonNull(value, argument);
    require(!value.isEmpty(), argument, "must not be empty");
    return value;
  }

  /**
   * Requires a condition to hold.
   *
   * @throws InvalidValueException if the condition does not hold
   */
  public static void require(boolean condition, String argument, String expectation) {
    if (!condition) {
      throw new InvalidValueException(argument, expectation);
    }
  }
}
