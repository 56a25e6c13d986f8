package org.parsleyhead.standin;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when a stand-in cannot do what it was asked; the code tells why. */
public final class StandinException extends ParsleyheadException {

  /** The code of an error in a request that a stand-in received. */
  public static final String BAD_REQUEST = "bad_request";

  /** The code of an error while a listener was opened. */
  public static final String LISTENER_FAILED = "listener_failed";

  /** The code of an error while a file was read or written. */
  public static final String FILE_FAILED = "file_failed";

  private static final long serialVersionUID = 1L;

  /** Creates an error without a cause. */
  public StandinException(String code, String message) {
    super(code, message);
  }

  /** Creates an error with its cause. */
  public StandinException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
