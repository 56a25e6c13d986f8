package org.parsleyhead.gateway.callers;

/**
 * Receives the events of the connections of callers.
 *
 * <p>Called on the event loop; implementations must not block.
 */
public interface CallerListener {

  /**
   * A complete request was received.
   *
   * @return false if the request cannot be accepted
   */
  boolean requestReceived(Exchange exchange);

  /** The caller closed its connection before its request was answered. */
  void callerDisconnected(Exchange exchange);

  /** A request was rejected before an exchange was created for it. */
  void requestRejected(int status, String reason);
}
