package org.parsleyhead.core.publication;

import java.util.List;

/**
 * What remains in force of former eras on a host, for a host that started later.
 *
 * <p>Immutable and thread-safe.
 *
 * @param items the items
 * @param confirmationLeftMilliseconds the rest of the confirmation time; 0 if it has ended, and
 *     negative if the host knows nothing of former eras
 */
public record FormerCopy(List<FormerItem> items, long confirmationLeftMilliseconds) {

  /** Of a host that knows nothing of former eras. */
  public static final FormerCopy UNKNOWN = new FormerCopy(List.of(), -1);

  /** Copies the list. */
  public FormerCopy {
    items = List.copyOf(items);
  }

  boolean known() {
    return confirmationLeftMilliseconds >= 0;
  }
}
