package org.parsleyhead.operator.declaration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.ItemKind;

/**
 * Reads files of declarations: tables named by the kind and the name of the item, such as {@code
 * [adapter.sorrel]}. Without input or output.
 *
 * <p>Stateless and thread-safe.
 */
public final class DeclarationParser {

  private DeclarationParser() {}

  /** Reads and checks all files of a folder; notes every problem. */
  public static Declarations parse(List<DeclarationFile> files) {
    List<DeclaredItem> items = new ArrayList<>();
    Set<ItemKey> named = new HashSet<>();
    List<Problem> problems = new ArrayList<>();
    for (DeclarationFile file : files) {
      for (DeclaredTable table : tables(file, problems)) {
        named.add(table.key());
        DeclarationFields fields =
            new DeclarationFields(table.file(), table.path(), table.fields(), problems::add);
        ItemReader.read(table.key().kind(), table.key().name(), fields)
            .map(item -> new DeclaredItem(table.file(), table.path(), item))
            .ifPresent(items::add);
      }
    }
    refuseDuplicates(items, problems);
    problems.addAll(ReferenceRules.check(items, named));
    return new Declarations(items, problems);
  }

  private static List<DeclaredTable> tables(DeclarationFile file, List<Problem> problems) {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(file.text());
    } catch (JsonProcessingException exception) {
      int line = exception.getLocation() == null ? 0 : exception.getLocation().getLineNr();
      String text = "not TOML: " + exception.getOriginalMessage();
      problems.add(new Problem(file.name(), "line " + line, text));
      return List.of();
    }
    List<DeclaredTable> tables = new ArrayList<>();
    for (Map.Entry<String, JsonNode> entry : root.properties()) {
      Optional<ItemKind> kind = kind(entry.getKey());
      if (kind.isEmpty()) {
        problems.add(new Problem(file.name(), entry.getKey(), "is not a known kind of item"));
      } else {
        tables.addAll(tables(file.name(), kind.get(), entry.getValue(), problems));
      }
    }
    return tables;
  }

  private static List<DeclaredTable> tables(
      String file, ItemKind kind, JsonNode node, List<Problem> problems) {
    if (!node.isObject()) {
      String text = "must hold tables such as [" + kind.text() + ".NAME]";
      problems.add(new Problem(file, kind.text(), text));
      return List.of();
    }
    List<DeclaredTable> tables = new ArrayList<>();
    for (Map.Entry<String, JsonNode> entry : node.properties()) {
      String path = kind.text() + "." + entry.getKey();
      if (!entry.getValue().isObject()) {
        problems.add(new Problem(file, path, "must be a table"));
        continue;
      }
      try {
        ItemKey key = new ItemKey(kind, entry.getKey());
        tables.add(new DeclaredTable(file, path, key, entry.getValue()));
      } catch (InvalidValueException exception) {
        problems.add(new Problem(file, path, exception.getMessage()));
      }
    }
    return tables;
  }

  private static void refuseDuplicates(List<DeclaredItem> items, List<Problem> problems) {
    Map<ItemKey, DeclaredItem> first = new HashMap<>();
    for (DeclaredItem declared : items) {
      DeclaredItem earlier = first.putIfAbsent(declared.item().key(), declared);
      if (earlier != null) {
        problems.add(
            new Problem(
                declared.file(), declared.path(), "is already declared in " + earlier.file()));
      }
    }
  }

  private static Optional<ItemKind> kind(String text) {
    for (ItemKind kind : ItemKind.values()) {
      if (kind.text().equals(text)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }

  /** The table of one item before it is read. */
  private record DeclaredTable(String file, String path, ItemKey key, JsonNode fields) {}
}
