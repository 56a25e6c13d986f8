package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.membership.Standing;

/** What happens to the recognition of repetitions. All events are immutable. */
public sealed interface RepeatEvent {

  /**
   * A request on this host must be checked.
   *
   * @param identifier the request
   * @param repeatKey equal for each repetition of the request
   */
  record Check(RequestIdentifier identifier, String repeatKey) implements RepeatEvent {}

  /**
   * A checked request on this host certainly did not run.
   *
   * @param identifier the request
   */
  record Forget(RequestIdentifier identifier) implements RepeatEvent {}

  /**
   * A message came from a member of the cell.
   *
   * @param sender the member
   * @param message the message
   */
  record Received(HostName sender, PeerMessage message) implements RepeatEvent {}

  /**
   * The standing of this host changed.
   *
   * @param standing the standing
   */
  record StandingChanged(Standing standing) implements RepeatEvent {}

  /** Time passed. */
  record Tick() implements RepeatEvent {}
}
