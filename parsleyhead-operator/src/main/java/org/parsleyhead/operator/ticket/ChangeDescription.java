package org.parsleyhead.operator.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.parsleyhead.codec.json.ItemText;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;

/**
 * Describes changes in readable form: one line for each item, and one for each field that differs.
 *
 * <p>Stateless and thread-safe, without input or output.
 */
public final class ChangeDescription {

  private static final String ABSENT = "-";

  private ChangeDescription() {}

  /** Returns the lines that describe changes to previous items, and a summary. */
  public static List<String> lines(Map<ItemKey, Item> previous, List<Change> changes) {
    List<String> lines = new ArrayList<>();
    for (Change change : changes) {
      Item before = previous.get(change.key());
      if (change.item().isEmpty()) {
        lines.add("- " + change.key());
      } else if (before == null) {
        lines.add("+ " + change.key());
        ItemText.fields(change.item().get())
            .forEach((field, text) -> lines.add("    " + field + ": " + text));
      } else {
        lines.add("~ " + change.key());
        lines.addAll(differences(ItemText.fields(before), ItemText.fields(change.item().get())));
      }
    }
    lines.add(summary(previous, changes));
    return List.copyOf(lines);
  }

  private static List<String> differences(
      SortedMap<String, String> before, SortedMap<String, String> after) {
    SortedMap<String, String> all = new TreeMap<>(before);
    all.putAll(after);
    return all.keySet().stream()
        .filter(field -> !before.getOrDefault(field, ABSENT).equals(after.get(field)))
        .map(
            field ->
                "    "
                    + field
                    + ": "
                    + before.getOrDefault(field, ABSENT)
                    + " -> "
                    + after.getOrDefault(field, ABSENT))
        .toList();
  }

  private static String summary(Map<ItemKey, Item> previous, List<Change> changes) {
    long deleted = changes.stream().filter(change -> change.item().isEmpty()).count();
    long replaced =
        changes.stream()
            .filter(change -> change.item().isPresent() && previous.containsKey(change.key()))
            .count();
    long created = changes.size() - deleted - replaced;
    return "created=" + created + " replaced=" + replaced + " deleted=" + deleted;
  }
}
