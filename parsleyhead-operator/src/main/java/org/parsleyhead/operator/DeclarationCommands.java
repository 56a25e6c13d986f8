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
import org.parsleyhead.operator.ticket.DocumentFolder;
import org.parsleyhead.operator.ticket.DocumentWriter;
import org.parsleyhead.operator.ticket.PublishedDocument;
import org.parsleyhead.operator.ticket.TicketPlan;
import org.parsleyhead.runtime.command.Command;
import org.parsleyhead.runtime.command.CommandArguments;
import org.parsleyhead.runtime.command.CommandDescription;
import org.parsleyhead.runtime.command.CommandException;
import org.parsleyhead.runtime.command.Console;
import org.parsleyhead.runtime.command.ExitStatus;
import org.parsleyhead.runtime.command.OptionDescription;
import org.parsleyhead.runtime.log.EventLine;

/** The commands that work on folders of declarations. Stateless and thread-safe. */
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
          Declarations declarations = FolderOptions.declarations(arguments);
          SortedMap<ItemKey, Item> items = FolderOptions.items(declarations, console);
          console.output().println(EventLine.of("items", items.size(), "problems", 0));
          return ExitStatus.SUCCESS;
        });
  }

  private static Command diff() {
    return new Command(
        new CommandDescription(
            "diff",
            List.of(FolderOptions.FOLDER),
            FolderOptions.OF_PREVIOUS_STATE,
            "Prints what a ticket would change."),
        (arguments, console) -> {
          SortedMap<ItemKey, Item> items =
              FolderOptions.items(FolderOptions.declarations(arguments), console);
          PreviousState previous = FolderOptions.previous(arguments, console);
          List<Change> changes = TicketPlan.changes(previous.items(), items);
          ChangeDescription.lines(previous.items(), changes).forEach(console.output()::println);
          return ExitStatus.SUCCESS;
        });
  }

  private static Command render() {
    List<OptionDescription> options = new ArrayList<>();
    options.add(OptionDescription.required(NUMBER, "N", "the number of the new ticket"));
    options.add(OptionDescription.required(OUTPUT, "DIRECTORY", "where the documents go"));
    options.addAll(FolderOptions.OF_PREVIOUS_STATE);
    options.add(OptionDescription.flag(WITHOUT_SNAPSHOT, "leaves the snapshot out"));
    return new Command(
        new CommandDescription(
            "render",
            List.of(FolderOptions.FOLDER),
            options,
            "Writes the documents of a ticket, unless nothing has changed; publish.txt has their"
                + " order."),
        DeclarationCommands::render);
  }

  private static ExitStatus render(CommandArguments arguments, Console console) {
    SortedMap<ItemKey, Item> items =
        FolderOptions.items(FolderOptions.declarations(arguments), console);
    PreviousState previous = FolderOptions.previous(arguments, console);
    TicketNumber number = new TicketNumber(arguments.number(NUMBER).orElseThrow());
    requireNext(number, arguments, previous);
    Ticket ticket = new Ticket(number, TicketPlan.changes(previous.items(), items));
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

  /** A snapshot needs the number of each item's last ticket, which a folder does not know. */
  private static List<PublishedDocument> documents(
      Ticket ticket, PreviousState previous, boolean withoutSnapshot) {
    DocumentWriter writer = new DocumentWriter(DocumentWriter.MAXIMUM_VALUE_BYTES);
    if (withoutSnapshot || previous.catalogue().isEmpty()) {
      return writer.ticket(ticket);
    }
    Catalogue after = previous.catalogue().get().merge(ticket);
    return writer.ticketAndSnapshot(ticket, after);
  }

  private static void requireNext(
      TicketNumber number, CommandArguments arguments, PreviousState previous) {
    if (previous.catalogue().isEmpty()) {
      if (number.value() <= FIRST_NUMBER) {
        throw CommandException.usage("--number must be above 1 if there is a previous state");
      }
      return;
    }
    long expected = previous.catalogue().get().highestTicketNumber().value() + 1;
    if (number.value() != expected) {
      String hint = expected == FIRST_NUMBER ? "; name the previous state for a later ticket" : "";
      throw CommandException.usage(
          "--number must be " + expected + ", the one behind the last ticket" + hint);
    }
  }
}
