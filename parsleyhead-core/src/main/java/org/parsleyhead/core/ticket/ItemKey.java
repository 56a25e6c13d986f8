package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.Preconditions;

/**
 * Identifies a declared item across all tickets.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of the item
 * @param name the name, unique within the kind
 */
public record ItemKey(ItemKind kind, String name) implements Comparable<ItemKey> {

  /** Validates the components. */
  public ItemKey {
    Preconditions.requireNonNull(kind, "itemKind");
    Preconditions.requireName(name, "itemName");
  }

  @Override
  public int compareTo(ItemKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind.text() + "/" + name;
  }
}
