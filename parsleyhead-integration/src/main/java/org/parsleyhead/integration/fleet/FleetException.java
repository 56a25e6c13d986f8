package org.parsleyhead.integration.fleet;

import org.parsleyhead.core.api.ParsleyheadException;

/**
 * Thrown when a process of a fleet cannot be started, reached or stopped, or when a file or a wait
 * fails.
 */
public final class FleetException extends ParsleyheadException {

  /** The stable code of this error. */
  public static final String CODE = "fleet";

  private static final long serialVersionUID = 1L;

  /** Creates an error without a cause. */
  public FleetException(String message) {
    super(CODE, message);
  }

  /** Creates an error with its cause. */
  public FleetException(String message, Throwable cause) {
    super(CODE, message, cause);
  }
}
