package org.parsleyhead.entry.upstream;

import org.parsleyhead.core.api.ParsleyheadException;

/**
 * Thrown when an upstream cannot be called, when the write deadline of a call has passed, or when
 * an engine reports incomplete metrics.
 */
public final class UpstreamException extends ParsleyheadException {

  /** The stable code of this error. */
  public static final String CODE = "upstream_client";

  private static final long serialVersionUID = 1L;

  UpstreamException(String message) {
    super(CODE, message);
  }

  UpstreamException(String message, Throwable cause) {
    super(CODE, message, cause);
  }
}
