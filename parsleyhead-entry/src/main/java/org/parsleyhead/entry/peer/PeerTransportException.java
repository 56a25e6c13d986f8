package org.parsleyhead.entry.peer;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when the transport between entry hosts cannot start. */
public final class PeerTransportException extends ParsleyheadException {

  /** The endpoint cannot be bound. */
  public static final String BIND_FAILED = "peer_bind_failed";

  private static final long serialVersionUID = 1L;

  /** Creates an error with its cause. */
  public PeerTransportException(String code, String message, Throwable cause) {
    super(code, message, cause);
  }
}
