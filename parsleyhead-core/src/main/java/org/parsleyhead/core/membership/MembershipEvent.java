package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;

/** The events of {@link MembershipTransition}. Implementations are immutable and thread-safe. */
public sealed interface MembershipEvent {

  /**
   * A host list was read. A list that is not newer than the current one is ignored.
   *
   * @param list the list
   */
  record HostListRead(HostList list) implements MembershipEvent {

    /** Validates the list. */
    public HostListRead {
      Preconditions.requireNonNull(list, "list");
    }
  }

  /**
   * Time has passed.
   *
   * @param randomNumber an unpredictable number, from which nonces and the choice of hosts are
   *     derived
   */
  record Tick(long randomNumber) implements MembershipEvent {}

  /**
   * A message was received from another host.
   *
   * @param sender the sender
   * @param message the message
   */
  record MessageReceived(Sender sender, PeerMessage message) implements MembershipEvent {

    /** Validates the components. */
    public MessageReceived {
      Preconditions.requireNonNull(sender, "sender");
      Preconditions.requireNonNull(message, "message");
    }
  }

  /**
   * All users of exclusive rights in this process have applied a rights snapshot and use no earlier
   * one.
   *
   * @param sequence the sequence number of that snapshot
   */
  record RightsApplied(long sequence) implements MembershipEvent {}

  /** A planned stop of this process has begun; it releases all exclusive rights permanently. */
  record StopRequested() implements MembershipEvent {}
}
