package org.parsleyhead.entry.callers;

import org.parsleyhead.core.api.RequestIdentifier;

/**
 * What the callers' sockets need of the process. Implementations are thread-safe and do not block.
 */
public interface CallerPort {

  /** Returns an identity that no other request has. */
  RequestIdentifier nextIdentifier();

  /** Tells whether the process is about to stop, so that connections are not kept open. */
  boolean isStopping();

  /** Takes a new exchange; false if there is no room for it. */
  boolean received(Exchange exchange);

  /** Is told that an exchange is over: answered, refused or aborted. */
  void ended(Exchange exchange);

  /** Is told that the caller of an exchange has gone. */
  void callerGone(Exchange exchange);

  /** Is told of an unexpected failure on a connection. */
  void connectionFailed(Throwable cause);
}
