package org.parsleyhead.load;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when the load tool cannot do what it was asked; the code tells why. */
public final class LoadException extends ParsleyheadException {

  /** The code of an error while a file was read or written. */
  public static final String FILE_FAILED = "file_failed";

  /** The code of an error in a line of a file. */
  public static final String MALFORMED = "malformed";

  private static final long serialVersionUID = 1L;

  /** Creates an error without a cause. */
  public LoadException(String code, String message) {
    super(code, message);
  }

  /** Creates an error with its cause. */
  public LoadException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
