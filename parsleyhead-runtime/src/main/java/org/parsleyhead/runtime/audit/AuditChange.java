package org.parsleyhead.runtime.audit;

import java.util.Locale;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.ticket.ItemKey;

/**
 * The change that a ticket made to one item.
 *
 * <p>Immutable and thread-safe.
 *
 * @param item the key of the changed item
 * @param action the kind of change
 */
public record AuditChange(ItemKey item, Action action) {

  /** Requires an item and an action. */
  public AuditChange {
    Preconditions.requireNonNull(item, "item");
    Preconditions.requireNonNull(action, "action");
  }

  /** The kind of change. */
  public enum Action {
    /** The item did not exist on this host or had been deleted. */
    CREATED,
    /** The item has a new state. */
    REPLACED,
    /** The item was deleted. */
    DELETED;

    /** Returns the name used in JSON and in log lines. */
    public String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
