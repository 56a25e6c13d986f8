package org.parsleyhead.gateway.callers;

/**
 * Takes what happens on the connections of callers.
 *
 * <p>Called on the event loop; implementations must not block.
 */
public interface CallerListener {

  /**
   * A whole request came in.
   *
   * @return false if it cannot be taken up
   */
  boolean requestReceived(Exchange exchange);

  /** The caller of an unanswered request has closed its connection. */
  void callerDisconnected(Exchange exchange);

  /** A request was refused before it could be taken up. */
  void requestRejected(int status, String reason);
}
