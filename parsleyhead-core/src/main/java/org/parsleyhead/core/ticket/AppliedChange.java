package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * A change that has come into force on this host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the item
 * @param number the ticket that touched it
 * @param before the former state, if there was one
 * @param after the new state; empty if the item was deleted
 */
public record AppliedChange(
    ItemKey key, TicketNumber number, Optional<Item> before, Optional<Item> after) {

  /** Checks the parts. */
  public AppliedChange {
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNull(number, "number");
    Preconditions.requireNonNull(before, "before");
    Preconditions.requireNonNull(after, "after");
  }

  /** Tells whether a key that was valid is no longer valid for its client account. */
  public boolean withdrawsKey() {
    return key.kind() == ItemKind.KEY && before.isPresent() && !before.equals(after);
  }

  /** Tells whether the limits of a client account are new, different or gone. */
  public boolean changesClientAccount() {
    return key.kind() == ItemKind.CLIENT_ACCOUNT && !before.equals(after);
  }
}
