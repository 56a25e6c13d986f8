package org.parsleyhead.operator.declaration;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;

/**
 * The items declared in a folder, with all problems found.
 *
 * <p>Immutable and thread-safe. The items must not be used if there are problems.
 *
 * @param items the items with their locations, in the order of the files
 * @param problems the problems, sorted by file and path
 */
public record Declarations(List<DeclaredItem> items, List<Problem> problems) {

  /** Copies the lists, and sorts and deduplicates the problems. */
  public Declarations {
    items = List.copyOf(items);
    problems = problems.stream().sorted().distinct().toList();
  }

  /** Returns the items by key; if an item is declared twice, the first declaration. */
  public SortedMap<ItemKey, Item> byKey() {
    SortedMap<ItemKey, Item> byKey = new TreeMap<>();
    items.forEach(declared -> byKey.putIfAbsent(declared.item().key(), declared.item()));
    return Collections.unmodifiableSortedMap(byKey);
  }
}
