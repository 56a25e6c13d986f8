package org.parsleyhead.runtime.audit;

import java.util.Locale;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.ticket.ItemKey;

/**
 * What a ticket did to one item.
 *
 * <p>Immutable and thread-safe.
 *
 * @param item the item
 * @param action what was done
 */
public record AuditChange(ItemKey item, Action action) {

  /** Checks the parts. */
  public AuditChange {
    Preconditions.requireNonNull(item, "item");
    Preconditions.requireNonNull(action, "action");
  }

  /** What was done to an item. */
  public enum Action {
    /** It was unknown here or deleted before. */
    CREATED,
    /** It has a new state. */
    REPLACED,
    /** It is gone. */
    DELETED;

    /** Returns the name in the JSON form and in log lines. */
    public String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
