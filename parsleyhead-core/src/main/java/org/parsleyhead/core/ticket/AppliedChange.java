package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * A change that was merged into the catalogue of this host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key of the changed item
 * @param number the number of the ticket that changed the item
 * @param before the state before the change; empty if there was none
 * @param after the state after the change; empty if the item was deleted
 */
public record AppliedChange(
    ItemKey key, TicketNumber number, Optional<Item> before, Optional<Item> after) {

  /** Validates the components. */
  public AppliedChange {
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNull(number, "number");
    Preconditions.requireNonNull(before, "before");
    Preconditions.requireNonNull(after, "after");
  }

  /** Returns whether a valid key was deleted or assigned to another client account. */
  public boolean revokesKey() {
    return key.kind() == ItemKind.KEY && before.isPresent() && !before.equals(after);
  }

  /** Returns whether the limits of a client account were added, changed or deleted. */
  public boolean changesClientAccount() {
    return key.kind() == ItemKind.CLIENT_ACCOUNT && !before.equals(after);
  }
}
