package org.parsleyhead.gateway.api;

import org.parsleyhead.core.api.ParsleyheadException;

/**
 * Thrown if the head of a request is malformed. Immutable apart from the state of {@link
 * Throwable}.
 */
public final class InvalidRequestException extends ParsleyheadException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with the reason for the rejection. */
  public InvalidRequestException(String message) {
    super("invalid_request", message);
  }
}
