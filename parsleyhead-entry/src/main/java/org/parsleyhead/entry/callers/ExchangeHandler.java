package org.parsleyhead.entry.callers;

import org.parsleyhead.core.api.RequestIdentifier;

/**
 * Receives the exchanges and events of callers' connections.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface ExchangeHandler {

  /** Returns a new, unique request identifier. */
  RequestIdentifier nextIdentifier();

  /** Returns whether the process is stopping, in which case connections are not kept alive. */
  boolean isStopping();

  /** Submits a new exchange; returns false if there is no capacity for it. */
  boolean submit(Exchange exchange);

  /** Receives the completion of an exchange by a response, a refusal or an abort. */
  void completed(Exchange exchange);

  /** Receives the disconnection of the caller of an exchange. */
  void callerDisconnected(Exchange exchange);

  /** Receives an unexpected failure of a connection. */
  void connectionFailed(Throwable cause);
}
