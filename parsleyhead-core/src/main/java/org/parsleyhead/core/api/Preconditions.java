package org.parsleyhead.core.api;

import java.util.Collection;

/**
 * Argument checks that name the argument they refuse.
 *
 * <p>Stateless and thread-safe.
 */
public final class Preconditions {

  /** The longest name that is accepted, in characters. */
  public static final int MAXIMUM_NAME_LENGTH = 200;

  private Preconditions() {}

  /**
   * Requires a value to be present.
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
   * @throws InvalidValueException if the name is null, blank, too long or holds other characters
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
   * Requires a number that is zero or more.
   *
   * @throws InvalidValueException if the value is negative
   */
  public static long requireNonNegative(long value, String argument) {
    require(value >= 0, argument, "must not be negative");
    return value;
  }

  /**
   * Requires a number that is more than zero.
   *
   * @throws InvalidValueException if the value is zero or negative
   */
  public static long requirePositive(long value, String argument) {
    require(value > 0, argument, "must be positive");
    return value;
  }

  /**
   * Requires a collection with at least one element.
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
   * @throws InvalidValueException if it does not
   */
  public static void require(boolean condition, String argument, String expectation) {
    if (!condition) {
      throw new InvalidValueException(argument, expectation);
    }
  }
}
