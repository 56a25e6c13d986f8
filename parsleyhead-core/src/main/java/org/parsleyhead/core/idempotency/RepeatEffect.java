package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.request.RepeatCheckResult;

/** The effects of {@link RepeatTransition}. Implementations are immutable and thread-safe. */
public sealed interface RepeatEffect {

  /**
   * Sends a message to a member of the cell.
   *
   * @param receiver the member
   * @param message the message
   */
  record Send(HostName receiver, PeerMessage message) implements RepeatEffect {}

  /**
   * Reports the result of a check to the request handling.
   *
   * @param identifier the request
   * @param result the result
   */
  record Checked(RequestIdentifier identifier, RepeatCheckResult result) implements RepeatEffect {}
}
