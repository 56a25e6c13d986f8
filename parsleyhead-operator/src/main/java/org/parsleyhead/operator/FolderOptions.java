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
import org.parsleyhead.operator.ticket.DocumentFolder;
import org.parsleyhead.operator.ticket.DocumentReader;
import org.parsleyhead.operator.ticket.TicketPlan;
import org.parsleyhead.runtime.command.CommandArguments;
import org.parsleyhead.runtime.command.CommandException;
import org.parsleyhead.runtime.command.Console;
import org.parsleyhead.runtime.command.OptionDescription;

/**
 * The operand and options with which commands name the state before and after a ticket.
 *
 * <p>Stateless and thread-safe.
 */
final class FolderOptions {

  static final String FOLDER = "FOLDER";

  private static final String PREVIOUS = "previous";
  private static final String PREVIOUS_DOCUMENTS = "previous-documents";

  static final List<OptionDescription> OF_PREVIOUS_STATE =
      List.of(
          OptionDescription.optional(
              PREVIOUS, "FOLDER", "declarations as the last ticket published them"),
          OptionDescription.optional(
              PREVIOUS_DOCUMENTS, "DIRECTORY", "documents as earlier renderings wrote them"));

  private FolderOptions() {}

  /** Reads the folder that the command names. */
  static Declarations declarations(CommandArguments arguments) {
    return DeclarationFolder.read(Path.of(arguments.operands().get(0)));
  }

  /**
   * Reads the items of a folder that must be free of problems.
   *
   * @throws CommandException if there are problems; they are printed first
   */
  static SortedMap<ItemKey, Item> items(Declarations declarations, Console console) {
    declarations.problems().forEach(console.errors()::println);
    if (!declarations.problems().isEmpty()) {
      throw CommandException.failed(
          "the declarations have problems: " + declarations.problems().size(), null);
    }
    return declarations.byKey();
  }

  /** Reads the state before a ticket; nothing was declared before if no option names it. */
  static PreviousState previous(CommandArguments arguments, Console console) {
    if (arguments.has(PREVIOUS) && arguments.has(PREVIOUS_DOCUMENTS)) {
      throw CommandException.usage("give --previous or --previous-documents, not both");
    }
    Optional<Path> documents = arguments.path(PREVIOUS_DOCUMENTS);
    if (documents.isPresent()) {
      Catalogue catalogue = new DocumentReader(new DocumentFolder(documents.get())).read();
      return new PreviousState(TicketPlan.declared(catalogue), Optional.of(catalogue));
    }
    Optional<Path> folder = arguments.path(PREVIOUS);
    if (folder.isPresent()) {
      return new PreviousState(
          items(DeclarationFolder.read(folder.get()), console), Optional.empty());
    }
    return new PreviousState(
        Collections.unmodifiableSortedMap(new TreeMap<>()), Optional.of(Catalogue.empty()));
  }
}
