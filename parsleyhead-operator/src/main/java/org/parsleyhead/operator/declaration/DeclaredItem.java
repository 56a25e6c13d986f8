package org.parsleyhead.operator.declaration;

import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.ticket.Item;

/**
 * An item with the location of its declaration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param file the file, relative to the folder
 * @param path the path of the table in the file
 * @param item the item
 */
public record DeclaredItem(String file, String path, Item item) {

  /** Requires all components. */
  public DeclaredItem {
    Preconditions.requireNonNull(file, "file");
    Preconditions.requireNonNull(path, "path");
    Preconditions.requireNonNull(item, "item");
  }

  /** Returns a problem in a field of this item. */
  Problem problem(String field, String text) {
    return new Problem(file, path + "." + field, text);
  }
}
