package org.parsleyhead.core.ticket;

import java.util.List;
import java.util.Set;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.HostList;

/** The events of {@link ConfigurationTransition}. Implementations are immutable and thread-safe. */
public sealed interface ConfigurationEvent {

  /**
   * Periodic event that starts due reads and comparisons.
   *
   * @param randomNumber a random number for the choice of hosts, delays and message identifiers
   */
  record Tick(long randomNumber) implements ConfigurationEvent {}

  /**
   * The host list or the liveness of hosts changed.
   *
   * @param list the host list
   * @param alive the hosts that are considered alive
   */
  record HostsChanged(HostList list, Set<HostName> alive) implements ConfigurationEvent {

    /** Validates the components and copies the collections. */
    public HostsChanged {
      Preconditions.requireNonNull(list, "list");
      alive = Set.copyOf(alive);
    }
  }

  /**
   * A message from another host was received.
   *
   * @param sender the sender
   * @param message the message
   */
  record MessageReceived(Sender sender, PeerMessage message) implements ConfigurationEvent {

    /** Validates the components. */
    public MessageReceived {
      Preconditions.requireNonNull(sender, "sender");
      Preconditions.requireNonNull(message, "message");
    }
  }

  /**
   * The service returned the number of the latest ticket.
   *
   * @param number the number
   * @param revision the revision of the returned value
   */
  record LatestRead(TicketNumber number, long revision) implements ConfigurationEvent {}

  /** A watch timed out in the service without a newer ticket number. */
  record LatestUnchanged() implements ConfigurationEvent {}

  /**
   * The service reported that a ticket has several parts.
   *
   * @param number the number of the ticket
   * @param parts the number of parts
   */
  record TicketSplit(TicketNumber number, int parts) implements ConfigurationEvent {}

  /**
   * The service returned a part of a ticket, or a complete ticket.
   *
   * @param fragment the part
   */
  record FragmentRead(TicketFragment fragment) implements ConfigurationEvent {}

  /**
   * The service returned the head of the latest snapshot.
   *
   * @param number the number up to which all tickets are merged in the snapshot
   * @param parts the number of parts
   */
  record SnapshotHeadRead(TicketNumber number, int parts) implements ConfigurationEvent {}

  /**
   * The service returned a part of a snapshot.
   *
   * @param number the number of the snapshot
   * @param part the number of the part, starting at 1
   * @param items the items in the part
   */
  record SnapshotPartRead(TicketNumber number, int part, List<CatalogueEntry> items)
      implements ConfigurationEvent {

    /** Copies the items. */
    public SnapshotPartRead {
      items = List.copyOf(items);
    }
  }

  /**
   * The service reported that the requested value does not exist.
   *
   * @param read the read
   */
  record ReadAbsent(ServiceRead read) implements ConfigurationEvent {}

  /**
   * A read failed: the service did not answer, or its answer could not be decoded.
   *
   * @param read the read
   */
  record ReadFailed(ServiceRead read) implements ConfigurationEvent {}
}
