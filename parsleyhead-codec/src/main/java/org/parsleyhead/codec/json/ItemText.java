package org.parsleyhead.codec.json;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.parsleyhead.core.ticket.Item;

/** Formats the fields of items for display. Stateless and thread-safe. */
public final class ItemText {

  private ItemText() {}

  /** Returns the JSON values of the fields of an item by their names in tickets. */
  public static SortedMap<String, String> fields(Item item) {
    SortedMap<String, String> fields = new TreeMap<>();
    ItemCodec.writeItem(item)
        .properties()
        .forEach(field -> fields.put(field.getKey(), field.getValue().toString()));
    return Collections.unmodifiableSortedMap(fields);
  }
}
