package org.parsleyhead.core.ticket;

import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Interns values that many items have in common, so that each value is kept in memory once.
 *
 * <p>Immutable and thread-safe. At most {@value #MAXIMUM_VALUES} values are pooled. Interning does
 * not affect the equality of items.
 */
record ItemPool(PMap<Object, Object> values) {

  static final ItemPool EMPTY = new ItemPool(HashTreePMap.empty());

  private static final int MAXIMUM_VALUES = 4_096;

  /** Returns the pool with the poolable values of an item. */
  ItemPool plus(Optional<Item> item) {
    if (item.isEmpty()) {
      return this;
    }
    if (item.get() instanceof AdapterItem adapter) {
      return plusValue(adapter.baseModel())
          .plusValue(adapter.versions())
          .plusValue(adapter.clientAccounts());
    }
    if (item.get() instanceof KeyItem key) {
      return plusValue(key.clientAccount());
    }
    return this;
  }

  /** Returns an equal item whose values are replaced by the pooled instances. */
  Optional<Item> share(Optional<Item> item) {
    return item.map(this::shareItem);
  }

  private Item shareItem(Item item) {
    if (item instanceof AdapterItem adapter) {
      ModelName model = pooled(adapter.baseModel());
      Set<Integer> versions = pooled(adapter.versions());
      Set<ClientAccountName> accounts = pooled(adapter.clientAccounts());
      return new AdapterItem(adapter.name(), model, versions, adapter.weightsPath(), accounts);
    }
    if (item instanceof KeyItem key) {
      return new KeyItem(key.digest(), pooled(key.clientAccount()));
    }
    return item;
  }

  private ItemPool plusValue(Object value) {
    boolean full = values.size() >= MAXIMUM_VALUES;
    return full || values.containsKey(value) ? this : new ItemPool(values.plus(value, value));
  }

  @SuppressWarnings("unchecked")
  private <T> T pooled(T value) {
    return (T) values.getOrDefault(value, value);
  }
}
