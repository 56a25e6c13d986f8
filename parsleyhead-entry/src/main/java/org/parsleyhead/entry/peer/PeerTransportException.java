package org.parsleyhead.entry.peer;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when the transport between entry hosts cannot be started. */
public final class PeerTransportException extends ParsleyheadException {

  /** The endpoint cannot be bound. */
  public static final String BIND_FAILED = "peer_bind_failed";

  private static final long serialVersionUID = 1L;

  /** Creates an exception with an error code and its cause. */
  public PeerTransportException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
