package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.request.RepeatCheckResult;

/** What is to be done for the recognition of repetitions. All effects are immutable. */
public sealed interface RepeatEffect {

  /**
   * Send a message to a member of the cell.
   *
   * @param receiver the member
   * @param message the message
   */
  record Send(HostName receiver, PeerMessage message) implements RepeatEffect {}

  /**
   * Tell the request part the result of a check.
   *
   * @param identifier the request
   * @param result the result
   */
  record Checked(RequestIdentifier identifier, RepeatCheckResult result) implements RepeatEffect {}
}
