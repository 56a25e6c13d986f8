package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.membership.RightsSnapshot;

/** The events of {@link RepeatTransition}. Implementations are immutable and thread-safe. */
public sealed interface RepeatEvent {

  /**
   * A request on this host has to be checked.
   *
   * @param identifier the request
   * @param repeatKey the key that all repetitions of the request share
   */
  record Check(RequestIdentifier identifier, String repeatKey) implements RepeatEvent {}

  /**
   * A checked request on this host definitely did not run.
   *
   * @param identifier the request
   */
  record Release(RequestIdentifier identifier) implements RepeatEvent {}

  /**
   * A message from a member of the cell has been received.
   *
   * @param sender the member
   * @param message the message
   */
  record MessageReceived(HostName sender, PeerMessage message) implements RepeatEvent {}

  /**
   * The host list or the attestations of the other hosts have changed.
   *
   * @param rightsSnapshot the new rights snapshot
   */
  record RightsChanged(RightsSnapshot rightsSnapshot) implements RepeatEvent {}

  /** Time has passed. */
  record Tick() implements RepeatEvent {}
}
