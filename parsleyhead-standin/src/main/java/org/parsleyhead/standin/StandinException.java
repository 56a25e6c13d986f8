package org.parsleyhead.standin;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when a stand-in cannot carry out an operation; the code classifies the error. */
public final class StandinException extends ParsleyheadException {

  /** The code of an invalid or unsupported request. */
  public static final String BAD_REQUEST = "bad_request";

  /** The code of a failure to open a listener. */
  public static final String LISTENER_FAILED = "listener_failed";

  /** The code of a failure to read, write or close a file or another resource. */
  public static final String FILE_FAILED = "file_failed";

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public StandinException(String code, String message) {
    super(code, message);
  }

  /** Creates an exception with a cause. */
  public StandinException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
