package org.parsleyhead.operator.ticket;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;

/**
 * Computes the changes between two states of the declarations.
 *
 * <p>Stateless and thread-safe, without input or output.
 */
public final class DeclarationDiff {

  private DeclarationDiff() {}

  /**
   * Returns the changes for a ticket: the full new state of each item that was added or changed,
   * and a deletion of each item that was removed. Deletions come first, and each group is sorted by
   * key, so that revoked keys stand at the front.
   */
  public static List<Change> changes(Map<ItemKey, Item> previous, Map<ItemKey, Item> current) {
    List<Change> changes = new ArrayList<>();
    new TreeMap<>(previous)
        .keySet().stream()
            .filter(key -> !current.containsKey(key))
            .map(Change::delete)
            .forEach(changes::add);
    new TreeMap<>(current)
        .values().stream()
            .filter(item -> !item.equals(previous.get(item.key())))
            .map(Change::put)
            .forEach(changes::add);
    return List.copyOf(changes);
  }

  /** Returns the items of a catalogue that are not deleted. */
  public static SortedMap<ItemKey, Item> declaredItems(Catalogue catalogue) {
    SortedMap<ItemKey, Item> declared = new TreeMap<>();
    catalogue
        .items()
        .forEach((key, versioned) -> versioned.item().ifPresent(item -> declared.put(key, item)));
    return Collections.unmodifiableSortedMap(declared);
  }
}
