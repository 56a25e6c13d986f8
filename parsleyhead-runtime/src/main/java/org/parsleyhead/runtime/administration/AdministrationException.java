package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when the operators' port cannot be opened or an answer of one cannot be read. */
public final class AdministrationException extends ParsleyheadException {

  /** The code of an endpoint that cannot be listened on. */
  public static final String CANNOT_LISTEN = "cannot_listen";

  /** The code of an answer that has another form. */
  public static final String MALFORMED_ANSWER = "malformed_answer";

  private static final long serialVersionUID = 1L;

  /** Creates an error with its cause. */
  public AdministrationException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
