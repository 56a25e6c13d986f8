package org.parsleyhead.operator;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when a command for operators fails. */
public final class OperatorException extends ParsleyheadException {

  /** The code of a file or folder that cannot be read or written. */
  public static final String FILE_FAILED = "file_failed";

  /** The code of published documents that are missing, malformed or inconsistent. */
  public static final String INCONSISTENT_DOCUMENTS = "inconsistent_documents";

  /** The code of an item that does not fit in one published value. */
  public static final String ITEM_TOO_LARGE = "item_too_large";

  /** The code of a host that cannot be queried or returns an error. */
  public static final String HOST_FAILED = "host_failed";

  private static final long serialVersionUID = 1L;

  /** Creates an error without a cause. */
  public OperatorException(String code, String message) {
    super(code, message);
  }

  /** Creates an error with its cause. */
  public OperatorException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
