package org.parsleyhead.core.api;

/**
 * The base class of all exceptions of the system.
 *
 * <p>Each layer has its own subclass and translates the exceptions of the layer below into it. The
 * code is stable across releases; the message is meant for people. Immutable apart from the state
 * of {@link Throwable}.
 */
public abstract class ParsleyheadException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String code;

  /** Creates an exception without a cause. */
  protected ParsleyheadException(String code, String message) {
    super(message);
    this.code = code;
  }

  /** Creates an exception with the exception of the layer below as its cause. */
  protected ParsleyheadException(String code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns the stable code of this error. */
  public final String code() {
    return code;
  }
}
