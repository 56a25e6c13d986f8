package org.parsleyhead.core.api;

/**
 * The root of all errors of the system.
 *
 * <p>Each layer has its own subclass and turns the errors of the layer below into its own. The code
 * is stable over releases; the message is for people. Immutable apart from what {@link Throwable}
 * keeps.
 */
public abstract class ParsleyheadException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String code;

  /** Creates an error without a cause. */
  protected ParsleyheadException(String code, String message) {
    super(message);
    this.code = code;
  }

  /** Creates an error with the error of the layer below as its cause. */
  protected ParsleyheadException(String code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns the stable code of this error. */
  public final String code() {
    return code;
  }
}
