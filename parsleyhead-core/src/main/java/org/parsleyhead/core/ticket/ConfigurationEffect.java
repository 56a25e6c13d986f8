package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * The effects of {@link ConfigurationTransition}. Implementations are immutable and thread-safe.
 */
public sealed interface ConfigurationEffect {

  /**
   * Sends a message to another host. Delivery is not guaranteed.
   *
   * @param host the receiver
   * @param message the message
   */
  record Send(HostName host, PeerMessage message) implements ConfigurationEffect {

    /** Validates the components. */
    public Send {
      Preconditions.requireNonNull(host, "host");
      Preconditions.requireNonNull(message, "message");
    }
  }

  /**
   * Reads from the configuration service. An event reports the value, its absence or the failure.
   *
   * @param read the read
   */
  record Read(ServiceRead read) implements ConfigurationEffect {

    /** Validates the read. */
    public Read {
      Preconditions.requireNonNull(read, "read");
    }
  }

  /**
   * Reports a new catalogue, which is in force on this host. The changes are written to the audit
   * trail; changes that revoke keys must also cancel the streams in progress of these keys.
   *
   * @param catalogue the new catalogue
   * @param mergedThrough the number up to which all tickets are merged
   * @param source the source of the changes
   * @param changes the differences from the previous catalogue
   */
  record CatalogueChanged(
      Catalogue catalogue, long mergedThrough, ChangeSource source, List<AppliedChange> changes)
      implements ConfigurationEffect {

    /** Validates the components and copies the collections. */
    public CatalogueChanged {
      Preconditions.requireNonNull(catalogue, "catalogue");
      Preconditions.requireNonNull(source, "source");
      changes = List.copyOf(changes);
    }

    /** Returns the digests of the revoked keys. */
    public List<String> revokedKeyDigests() {
      return changes.stream()
          .filter(AppliedChange::revokesKey)
          .map(change -> change.key().name())
          .toList();
    }

    /** Returns the changes of client accounts. */
    public List<AppliedChange> clientAccountChanges() {
      return changes.stream().filter(AppliedChange::changesClientAccount).toList();
    }
  }

  /**
   * Reports that this host has become ready to serve callers. Emitted at most once per process.
   *
   * @param mergedThrough the number up to which all tickets are merged
   */
  record BecameReady(long mergedThrough) implements ConfigurationEffect {}

  /**
   * Reports that a ticket was rejected because it is not valid.
   *
   * @param number the number of the ticket
   * @param reason a human-readable explanation
   */
  record TicketRefused(long number, String reason) implements ConfigurationEffect {}
}
