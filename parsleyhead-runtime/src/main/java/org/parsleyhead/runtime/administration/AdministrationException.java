package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when an administration port cannot be opened or its response cannot be decoded. */
public final class AdministrationException extends ParsleyheadException {

  /** The code of an endpoint that cannot be bound. */
  public static final String CANNOT_LISTEN = "cannot_listen";

  /** The code of a response that cannot be decoded. */
  public static final String MALFORMED_RESPONSE = "malformed_answer";

  private static final long serialVersionUID = 1L;

  /** Creates an error with its cause. */
  public AdministrationException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
