package org.parsleyhead.entry.upstream;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when the client of upstreams cannot work at all. */
public final class UpstreamException extends ParsleyheadException {

  /** The stable code of this error. */
  public static final String CODE = "upstream_client";

  private static final long serialVersionUID = 1L;

  UpstreamException(String message, Throwable cause) {
    super(CODE, message, cause);
  }
}
