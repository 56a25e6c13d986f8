package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;

/** What the membership part is told. Implementations are immutable and thread-safe. */
public sealed interface MembershipEvent {

  /**
   * A host list was read. A list that is not newer than the known one changes nothing.
   *
   * @param list the list
   */
  record HostListRead(HostList list) implements MembershipEvent {

    /** Checks the list. */
    public HostListRead {
      Preconditions.requireNonNull(list, "list");
    }
  }

  /**
   * Time has passed.
   *
   * @param randomNumber a number that nobody can foresee, for nonces and the choice of hosts
   */
  record Tick(long randomNumber) implements MembershipEvent {}

  /**
   * A message came from another host.
   *
   * @param sender who sent it
   * @param message the message
   */
  record MessageReceived(Sender sender, PeerMessage message) implements MembershipEvent {

    /** Checks the parts. */
    public MessageReceived {
      Preconditions.requireNonNull(sender, "sender");
      Preconditions.requireNonNull(message, "message");
    }
  }

  /**
   * All users of exclusive rights in this process act on a standing and on no earlier one.
   *
   * @param sequence the sequence number of that standing
   */
  record StandingApplied(long sequence) implements MembershipEvent {}

  /** This process stops as planned and gives up all exclusive rights for good. */
  record StopRequested() implements MembershipEvent {}
}
