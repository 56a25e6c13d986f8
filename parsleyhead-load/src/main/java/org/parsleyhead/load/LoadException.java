package org.parsleyhead.load;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when the load generator fails on a file or on its HTTP client; the code tells which. */
public final class LoadException extends ParsleyheadException {

  /** The code of an I/O failure on a file or on closing the HTTP client. */
  public static final String FILE_FAILED = "file_failed";

  /** The code of a malformed line in a file. */
  public static final String MALFORMED = "malformed";

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public LoadException(String code, String message) {
    super(code, message);
  }

  /** Creates an exception with its cause. */
  public LoadException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
