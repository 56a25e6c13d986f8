package org.parsleyhead.core.api;

/** Thrown when an argument of a core type is outside its valid range; names the argument. */
public final class InvalidValueException extends ParsleyheadException {

  /** The stable code of this error. */
  public static final String CODE = "invalid_value";

  private static final long serialVersionUID = 1L;

  private final String argument;

  /** Creates an error for one argument. */
  public InvalidValueException(String argument, String expectation) {
    super(CODE, argument + " " + expectation);
    this.argument = argument;
  }

  /** Returns the name of the invalid argument. */
  public String argument() {
    return argument;
  }
}
