package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/** What the configuration part asks for. Implementations are immutable and thread-safe. */
public sealed interface ConfigurationEffect {

  /**
   * Sends a message to another host; it may be lost.
   *
   * @param host the receiver
   * @param message the message
   */
  record Send(HostName host, PeerMessage message) implements ConfigurationEffect {

    /** Checks the parts. */
    public Send {
      Preconditions.requireNonNull(host, "host");
      Preconditions.requireNonNull(message, "message");
    }
  }

  /**
   * Calls the configuration service; the answer, its absence or failure is told by an event.
   *
   * @param read the call
   */
  record Read(ServiceRead read) implements ConfigurationEffect {

    /** Checks the call. */
    public Read {
      Preconditions.requireNonNull(read, "read");
    }
  }

  /**
   * A new catalogue is in force on this host. The changes are the audit trail; those that withdraw
   * keys must end streams in flight.
   *
   * @param catalogue the catalogue
   * @param mergedThrough the number up to which all tickets are merged
   * @param source from whom the changes were heard
   * @param changes what differs from the former catalogue
   */
  record CatalogueChanged(
      Catalogue catalogue, long mergedThrough, ChangeSource source, List<AppliedChange> changes)
      implements ConfigurationEffect {

    /** Checks and copies the parts. */
    public CatalogueChanged {
      Preconditions.requireNonNull(catalogue, "catalogue");
      Preconditions.requireNonNull(source, "source");
      changes = List.copyOf(changes);
    }

    /** Returns the digests of the keys that are no longer valid. */
    public List<String> withdrawnKeyDigests() {
      return changes.stream()
          .filter(AppliedChange::withdrawsKey)
          .map(change -> change.key().name())
          .toList();
    }

    /** Returns the changes of client accounts. */
    public List<AppliedChange> clientAccountChanges() {
      return changes.stream().filter(AppliedChange::changesClientAccount).toList();
    }
  }

  /**
   * This host knows enough to serve callers. It happens once.
   *
   * @param mergedThrough the number up to which all tickets are merged
   */
  record BecameReady(long mergedThrough) implements ConfigurationEffect {}

  /**
   * A ticket was refused since it is not valid.
   *
   * @param number the number of the ticket
   * @param reason the reason, for people
   */
  record TicketRefused(long number, String reason) implements ConfigurationEffect {}
}
