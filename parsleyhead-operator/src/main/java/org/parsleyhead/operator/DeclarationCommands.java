package org.parsleyhead.operator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.operator.declaration.Declarations;
import org.parsleyhead.operator.ticket.ChangeDescription;
import org.parsleyhead.operator.ticket.DeclarationDiff;
import org.parsleyhead.operator.ticket.DocumentFolder;
import org.parsleyhead.operator.ticket.DocumentWriter;
import org.parsleyhead.operator.ticket.PublishedDocument;
import org.parsleyhead.runtime.command.Command;
import org.parsleyhead.runtime.command.CommandArguments;
import org.parsleyhead.runtime.command.CommandDescription;
import org.parsleyhead.runtime.command.CommandException;
import org.parsleyhead.runtime.command.Console;
import org.parsleyhead.runtime.command.ExitStatus;
import org.parsleyhead.runtime.command.OptionDescription;
import org.parsleyhead.runtime.log.EventLine;

/** The commands that read folders of declarations. Stateless and thread-safe. */
final class DeclarationCommands {

  private static final String NUMBER = "number";
  private static final String OUTPUT = "output";
  private static final String WITHOUT_SNAPSHOT = "without-snapshot";
  private static final long FIRST_NUMBER = 1;

  private DeclarationCommands() {}

  static List<Command> all() {
    return List.of(check(), diff(), render());
  }

  private static Command check() {
    return new Command(
        new CommandDescription(
            "check",
            List.of(FolderOptions.FOLDER),
            List.of(),
            "Checks a folder of declarations and prints every problem."),
        (arguments, console) -> {
          Declarations declarations = FolderOptions.readDeclarations(arguments);
          SortedMap<ItemKey, Item> items = FolderOptions.requireValidItems(declarations, console);
          console.output().println(EventLine.of("items", items.size(), "problems", 0));
          return ExitStatus.SUCCESS;
        });
  }

  private static Command diff() {
    return new Command(
        new CommandDescription(
            "diff",
            List.of(FolderOptions.FOLDER),
            FolderOptions.PREVIOUS_STATE_OPTIONS,
            "Prints what a ticket would change."),
        (arguments, console) -> {
          SortedMap<ItemKey, Item> items =
              FolderOptions.requireValidItems(FolderOptions.readDeclarations(arguments), console);
          PreviousState previous = FolderOptions.previousState(arguments, console);
          List<Change> changes = DeclarationDiff.changes(previous.items(), items);
          ChangeDescription.lines(previous.items(), changes).forEach(console.output()::println);
          return ExitStatus.SUCCESS;
        });
  }

  private static Command render() {
    List<OptionDescription> options = new ArrayList<>();
    options.add(OptionDescription.required(NUMBER, "N", "the number of the new ticket"));
    options.add(
        OptionDescription.required(
            OUTPUT, "DIRECTORY", "directory to which the documents are written"));
    options.addAll(FolderOptions.PREVIOUS_STATE_OPTIONS);
    options.add(OptionDescription.flag(WITHOUT_SNAPSHOT, "omits the snapshot"));
    return new Command(
        new CommandDescription(
            "render",
            List.of(FolderOptions.FOLDER),
            options,
            "Writes the documents of a ticket if anything has changed; publish.txt lists them in"
                + " publishing order."),
        DeclarationCommands::render);
  }

  private static ExitStatus render(CommandArguments arguments, Console console) {
    SortedMap<ItemKey, Item> items =
        FolderOptions.requireValidItems(FolderOptions.readDeclarations(arguments), console);
    PreviousState previous = FolderOptions.previousState(arguments, console);
    TicketNumber number = new TicketNumber(arguments.number(NUMBER).orElseThrow());
    requireNextNumber(number, arguments, previous);
    Ticket ticket = new Ticket(number, DeclarationDiff.changes(previous.items(), items));
    if (ticket.changes().isEmpty()) {
      console.output().println(EventLine.of("ticket", "none", "changes", 0));
      return ExitStatus.SUCCESS;
    }
    List<PublishedDocument> documents =
        documents(ticket, previous, arguments.has(WITHOUT_SNAPSHOT));
    Path output = arguments.path(OUTPUT).orElseThrow();
    new DocumentFolder(output).write(documents);
    console
        .output()
        .println(
            EventLine.of(
                "ticket", number, "changes", ticket.changes().size(), "values", documents.size()));
    return ExitStatus.SUCCESS;
  }

  /**
   * Returns the documents to publish. A snapshot needs the number of the last ticket of each item,
   * which a folder of declarations does not contain.
   */
  private static List<PublishedDocument> documents(
      Ticket ticket, PreviousState previous, boolean withoutSnapshot) {
    DocumentWriter writer = new DocumentWriter(DocumentWriter.MAXIMUM_VALUE_BYTES);
    if (withoutSnapshot || previous.catalogue().isEmpty()) {
      return writer.ticket(ticket);
    }
    Catalogue after = previous.catalogue().get().merge(ticket);
    return writer.ticketAndSnapshot(ticket, after);
  }

  private static void requireNextNumber(
      TicketNumber number, CommandArguments arguments, PreviousState previous) {
    if (previous.catalogue().isEmpty()) {
      if (number.value() <= FIRST_NUMBER) {
        throw CommandException.usage(
            "--number must be greater than 1 if there is a previous state");
      }
      return;
    }
    long expected = previous.catalogue().get().highestTicketNumber().value() + 1;
    if (number.value() != expected) {
      String hint =
          expected == FIRST_NUMBER
              ? "; for a later ticket, give --previous or --previous-documents"
              : "";
      throw CommandException.usage(
          "--number must be " + expected + ", the number after that of the last ticket" + hint);
    }
  }
}
