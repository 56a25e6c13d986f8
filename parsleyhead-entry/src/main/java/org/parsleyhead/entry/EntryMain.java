package org.parsleyhead.entry;

import java.util.List;
import org.parsleyhead.entry.process.EntryProcess;
import org.parsleyhead.entry.process.EntrySettings;
import org.parsleyhead.entry.process.EntrySettingsReader;
import org.parsleyhead.runtime.command.Console;
import org.parsleyhead.runtime.command.ProcessLifecycle;
import org.parsleyhead.runtime.command.Program;
import org.parsleyhead.runtime.command.ServiceProgram;
import org.parsleyhead.runtime.command.StopSignal;
import org.parsleyhead.runtime.log.EventLog;

/** The main class of an entry host. Stateless. */
public final class EntryMain {

  private EntryMain() {}

  /** Runs the program until it receives a stop signal, then exits with its status. */
  public static void main(String[] arguments) {
    EventLog.configureProcess();
    ProcessLifecycle lifecycle = ProcessLifecycle.install();
    lifecycle.exit(program(lifecycle).run(List.of(arguments), Console.ofProcess()));
  }

  /** Returns the program, which runs until the stop signal. */
  static Program program(StopSignal stopSignal) {
    return ServiceProgram.<EntrySettings>create(
        "parsleyhead-entry",
        "Serves callers: routes their requests to model servers and plain services.",
        EntrySettingsReader::read,
        (settings, console) -> EntryProcess.start(settings),
        stopSignal);
  }
}
