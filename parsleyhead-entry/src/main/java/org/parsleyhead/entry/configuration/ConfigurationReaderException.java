package org.parsleyhead.entry.configuration;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when the reader of the configuration service fails. */
public final class ConfigurationReaderException extends ParsleyheadException {

  /** The HTTP client cannot be closed. */
  public static final String CLOSE_FAILED = "configuration_client_close_failed";

  /** An answer is longer than the bound. */
  public static final String ANSWER_TOO_LARGE = "configuration_answer_too_large";

  /** An answer does not belong to what was asked. */
  public static final String ANSWER_MISMATCH = "configuration_answer_mismatch";

  private static final long serialVersionUID = 1L;

  ConfigurationReaderException(String code, String message) {
    super(code, message);
  }

  ConfigurationReaderException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
