package org.parsleyhead.entry.configuration;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when a call to the configuration service or the host list service fails. */
public final class ConfigurationReaderException extends ParsleyheadException {

  /** The HTTP client cannot be closed. */
  public static final String CLOSE_FAILED = "configuration_client_close_failed";

  /** A response exceeds the size limit. */
  public static final String RESPONSE_TOO_LARGE = "configuration_answer_too_large";

  /** A response does not match the request. */
  public static final String RESPONSE_MISMATCH = "configuration_answer_mismatch";

  private static final long serialVersionUID = 1L;

  ConfigurationReaderException(String code, String message) {
    super(code, message);
  }

  ConfigurationReaderException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
