package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.Preconditions;

/**
 * An item key with the versioned state of the item, as transferred between hosts and stored in
 * snapshots.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the item key
 * @param versioned the state of the item, or its tombstone
 */
public record CatalogueEntry(ItemKey key, VersionedItem versioned) {

  /** Validates that the item has the key of the entry. */
  public CatalogueEntry {
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNull(versioned, "versioned");
    Preconditions.require(
        versioned.item().isEmpty() || versioned.item().get().key().equals(key),
        "item",
        "must have the key of the entry");
  }

  /** Returns an upper bound of the encoded size, in bytes. */
  int estimatedBytes() {
    int size = 64 + key.name().length();
    if (versioned.item().isEmpty()) {
      return size;
    }
    Item item = versioned.item().get();
    if (item instanceof AdapterItem adapter) {
      size += adapter.baseModel().text().length() + adapter.weightsPath().length();
      size += 5 * adapter.versions().size();
      size += adapter.clientAccounts().stream().mapToInt(name -> name.text().length() + 2).sum();
    } else if (item instanceof RouteItem route) {
      size += route.pathPrefix().length();
      size += route.clientAccounts().stream().mapToInt(name -> name.text().length() + 2).sum();
      size += route.upstreams().stream().mapToInt(name -> name.text().length() + 2).sum();
    } else {
      size += 3 * Preconditions.MAXIMUM_NAME_LENGTH;
    }
    return size;
  }
}
