package org.parsleyhead.operator;

import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.operator.declaration.DeclarationFolder;
import org.parsleyhead.operator.declaration.Declarations;
import org.parsleyhead.operator.ticket.DeclarationDiff;
import org.parsleyhead.operator.ticket.DocumentFolder;
import org.parsleyhead.operator.ticket.DocumentReader;
import org.parsleyhead.runtime.command.CommandArguments;
import org.parsleyhead.runtime.command.CommandException;
import org.parsleyhead.runtime.command.Console;
import org.parsleyhead.runtime.command.OptionDescription;

/**
 * The operand and the options that name the declarations and the state before a ticket.
 *
 * <p>Stateless and thread-safe.
 */
final class FolderOptions {

  static final String FOLDER = "FOLDER";

  private static final String PREVIOUS = "previous";
  private static final String PREVIOUS_DOCUMENTS = "previous-documents";

  static final List<OptionDescription> PREVIOUS_STATE_OPTIONS =
      List.of(
          OptionDescription.optional(
              PREVIOUS, "FOLDER", "declarations of the last published ticket"),
          OptionDescription.optional(
              PREVIOUS_DOCUMENTS, "DIRECTORY", "documents written by earlier renderings"));

  private FolderOptions() {}

  /** Reads the declarations in the folder operand. */
  static Declarations readDeclarations(CommandArguments arguments) {
    return DeclarationFolder.read(Path.of(arguments.operands().get(0)));
  }

  /**
   * Returns the items of declarations, which must be free of problems.
   *
   * @throws CommandException if there are problems; they are printed first
   */
  static SortedMap<ItemKey, Item> requireValidItems(Declarations declarations, Console console) {
    declarations.problems().forEach(console.errors()::println);
    if (!declarations.problems().isEmpty()) {
      throw CommandException.failed(
          "the declarations have problems: " + declarations.problems().size(), null);
    }
    return declarations.byKey();
  }

  /** Reads the state before a ticket; it is empty if no option names it. */
  static PreviousState previousState(CommandArguments arguments, Console console) {
    if (arguments.has(PREVIOUS) && arguments.has(PREVIOUS_DOCUMENTS)) {
      throw CommandException.usage("--previous and --previous-documents are mutually exclusive");
    }
    Optional<Path> documents = arguments.path(PREVIOUS_DOCUMENTS);
    if (documents.isPresent()) {
      Catalogue catalogue = new DocumentReader(new DocumentFolder(documents.get())).read();
      return new PreviousState(DeclarationDiff.declaredItems(catalogue), Optional.of(catalogue));
    }
    Optional<Path> folder = arguments.path(PREVIOUS);
    if (folder.isPresent()) {
      return new PreviousState(
          requireValidItems(DeclarationFolder.read(folder.get()), console), Optional.empty());
    }
    return new PreviousState(
        Collections.unmodifiableSortedMap(new TreeMap<>()), Optional.of(Catalogue.empty()));
  }
}
