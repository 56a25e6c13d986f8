package org.parsleyhead.operator;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when a command of the operators' program cannot be carried out. */
public final class OperatorException extends ParsleyheadException {

  /** The code of a file or folder that cannot be read or written. */
  public static final String FILE_FAILED = "file_failed";

  /** The code of published documents that do not fit together. */
  public static final String INCONSISTENT_DOCUMENTS = "inconsistent_documents";

  /** The code of an item that does not fit one published value. */
  public static final String ITEM_TOO_LARGE = "item_too_large";

  /** The code of a host that does not answer as it should. */
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
