package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.Preconditions;

/**
 * An item with its last ticket number, as another host or a snapshot tells it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the item
 * @param versioned its state, or its tombstone
 */
public record HeardItem(ItemKey key, VersionedItem versioned) {

  /** Checks that the item has the key. */
  public HeardItem {
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNull(versioned, "versioned");
    Preconditions.require(
        versioned.item().isEmpty() || versioned.item().get().key().equals(key),
        "item",
        "must have the key");
  }

  /** Returns a bound on the encoded size, in bytes. */
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
