package org.parsleyhead.operator.declaration;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;

/**
 * What a folder declares, with everything that is wrong in it.
 *
 * <p>Immutable and thread-safe. The items may only be used if there are no problems.
 *
 * @param items the items with their places, in the order of the files
 * @param problems the problems, in the order of files and paths
 */
public record Declarations(List<DeclaredItem> items, List<Problem> problems) {

  /** Copies and sorts the parts. */
  public Declarations {
    items = List.copyOf(items);
    problems = problems.stream().sorted().distinct().toList();
  }

  /** Returns the items by their keys; of an item that is declared twice, the first. */
  public SortedMap<ItemKey, Item> byKey() {
    SortedMap<ItemKey, Item> byKey = new TreeMap<>();
    items.forEach(declared -> byKey.putIfAbsent(declared.item().key(), declared.item()));
    return Collections.unmodifiableSortedMap(byKey);
  }
}
