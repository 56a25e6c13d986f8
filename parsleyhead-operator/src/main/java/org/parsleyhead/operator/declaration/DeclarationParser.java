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
 * Parses files of declarations, in which each table is named by the kind and name of an item, such
 * as {@code [adapter.sorrel]}. Without input or output.
 *
 * <p>Stateless and thread-safe.
 */
public final class DeclarationParser {

  private DeclarationParser() {}

  /** Parses and validates all files of a folder; collects every problem. */
  public static Declarations parse(List<DeclarationFile> files) {
    List<DeclaredItem> items = new ArrayList<>();
    Set<ItemKey> declaredKeys = new HashSet<>();
    List<Problem> problems = new ArrayList<>();
    for (DeclarationFile file : files) {
      for (DeclaredTable table : tables(file, problems)) {
        declaredKeys.add(table.key());
        DeclarationFields fields =
            new DeclarationFields(table.file(), table.path(), table.fields(), problems::add);
        ItemReader.read(table.key().kind(), table.key().name(), fields)
            .map(item -> new DeclaredItem(table.file(), table.path(), item))
            .ifPresent(items::add);
      }
    }
    rejectDuplicates(items, problems);
    problems.addAll(DeclarationValidator.check(items, declaredKeys));
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
      String text = "must contain tables such as [" + kind.text() + ".NAME]";
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

  private static void rejectDuplicates(List<DeclaredItem> items, List<Problem> problems) {
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

  /** The table of an item whose fields have not been read yet. */
  private record DeclaredTable(String file, String path, ItemKey key, JsonNode fields) {}
}
