package org.parsleyhead.operator;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.operator.fleet.HostQuery;
import org.parsleyhead.operator.fleet.HttpHostQuery;
import org.parsleyhead.runtime.command.Command;
import org.parsleyhead.runtime.command.Console;
import org.parsleyhead.runtime.command.Program;
import org.parsleyhead.runtime.log.EventLog;

/**
 * The command line for operators. It reads files and queries hosts, and publishes nothing to the
 * platform.
 *
 * <p>Stateless and thread-safe.
 */
public final class OperatorMain {

  private static final String NAME = "parsleyhead-operator";
  private static final String SUMMARY =
      "checks declarations, renders them into tickets and queries the state of hosts";

  private OperatorMain() {}

  /** Runs the program and exits the process with its status. */
  public static void main(String[] arguments) {
    EventLog.configureProcess();
    Program program = program(new HttpHostQuery());
    System.exit(program.run(List.of(arguments), Console.ofProcess()).code());
  }

  /** Returns the program, which queries hosts with the given query. */
  static Program program(HostQuery query) {
    List<Command> commands = new ArrayList<>(DeclarationCommands.all());
    commands.addAll(new FleetCommands(query).all());
    commands.add(KeyCommand.command());
    return new Program(NAME, SUMMARY, commands);
  }
}
