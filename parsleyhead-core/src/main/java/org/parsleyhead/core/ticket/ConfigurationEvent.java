package org.parsleyhead.core.ticket;

import java.util.List;
import java.util.Set;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.HostList;

/** What the configuration part is told. Implementations are immutable and thread-safe. */
public sealed interface ConfigurationEvent {

  /**
   * Time has passed.
   *
   * @param randomNumber a random number, for the choice of hosts and delays
   */
  record Tick(long randomNumber) implements ConfigurationEvent {}

  /**
   * The host list or the opinions on who lives have changed.
   *
   * @param list the host list
   * @param alive the hosts that count as alive
   */
  record HostsChanged(HostList list, Set<HostName> alive) implements ConfigurationEvent {

    /** Checks and copies the parts. */
    public HostsChanged {
      Preconditions.requireNonNull(list, "list");
      alive = Set.copyOf(alive);
    }
  }

  /**
   * A message came from another host.
   *
   * @param sender who sent it
   * @param message the message
   */
  record MessageReceived(Sender sender, PeerMessage message) implements ConfigurationEvent {

    /** Checks the parts. */
    public MessageReceived {
      Preconditions.requireNonNull(sender, "sender");
      Preconditions.requireNonNull(message, "message");
    }
  }

  /**
   * The service told the number of the last ticket.
   *
   * @param number the number
   * @param revision the revision of the answer
   */
  record LatestRead(TicketNumber number, long revision) implements ConfigurationEvent {}

  /** The service answered a watch: nothing has changed. */
  record LatestUnchanged() implements ConfigurationEvent {}

  /**
   * The service told that a ticket has several parts.
   *
   * @param number the number of the ticket
   * @param parts how many
   */
  record TicketSplit(TicketNumber number, int parts) implements ConfigurationEvent {}

  /**
   * The service gave a part of a ticket, or all of it.
   *
   * @param fragment the part
   */
  record FragmentRead(TicketFragment fragment) implements ConfigurationEvent {}

  /**
   * The service told the number and size of the last snapshot.
   *
   * @param number the number up to which all tickets are merged in it
   * @param parts how many parts it has
   */
  record SnapshotHeadRead(TicketNumber number, int parts) implements ConfigurationEvent {}

  /**
   * The service gave a part of a snapshot.
   *
   * @param number the number of the snapshot
   * @param part the number of the part
   * @param items the items in it
   */
  record SnapshotPartRead(TicketNumber number, int part, List<HeardItem> items)
      implements ConfigurationEvent {

    /** Copies the items. */
    public SnapshotPartRead {
      items = List.copyOf(items);
    }
  }

  /**
   * The service has no value for a read.
   *
   * @param read the read
   */
  record ReadAbsent(ServiceRead read) implements ConfigurationEvent {}

  /**
   * The service did not answer a read, or not in a form that can be understood.
   *
   * @param read the read
   */
  record ReadFailed(ServiceRead read) implements ConfigurationEvent {}
}
