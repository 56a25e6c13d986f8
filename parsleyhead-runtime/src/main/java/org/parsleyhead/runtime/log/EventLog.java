package org.parsleyhead.runtime.log;

import com.google.common.flogger.FluentLogger;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs each event as one line of key=value pairs.
 *
 * <p>Immutable and thread-safe. Values with spaces, quotes or equals signs are quoted. API keys of
 * callers must never be logged.
 */
public final class EventLog {

  private static final String SLF4J_VERBOSITY_PROPERTY = "slf4j.internal.verbosity";
  private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

  private final String component;

  /** Creates a log for one component, whose name is part of each line. */
  public EventLog(String component) {
    this.component = component;
  }

  /**
   * Writes all logs of this process to the standard error stream, one line for each event. Must be
   * called first in a program, before anything is logged.
   */
  public static void configureProcess() {
    System.setProperty(LOG_MANAGER_PROPERTY, EventLogManager.class.getName());
    System.setProperty(SLF4J_VERBOSITY_PROPERTY, "ERROR");
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    Handler handler = new ConsoleHandler();
    handler.setFormatter(new EventLineFormatter());
    root.addHandler(handler);
  }

  /**
   * Writes all logs of this process to the standard output stream, one line for each event, through
   * a dedicated thread, so that logging never blocks. Must be called first in a program that serves
   * callers.
   *
   * @return writes the pending lines; must be run when the process exits
   */
  public static Runnable configureService() {
    System.setProperty(LOG_MANAGER_PROPERTY, EventLogManager.class.getName());
    System.setProperty(SLF4J_VERBOSITY_PROPERTY, "ERROR");
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    RingLogHandler handler = new RingLogHandler(System.out);
    root.addHandler(handler);
    root.setLevel(Level.CONFIG);
    handler.start();
    return handler::flush;
  }

  /** Logs a decision on one request; these lines are dropped first under overload. */
  public void request(String event, Object... keysAndValues) {
    Backend.LOGGER.atConfig().log("%s", line(event, keysAndValues));
  }

  /** Logs an event of normal operation. */
  public void info(String event, Object... keysAndValues) {
    Backend.LOGGER.atInfo().log("%s", line(event, keysAndValues));
  }

  /** Logs an event that needs the attention of an operator. */
  public void warning(String event, Object... keysAndValues) {
    Backend.LOGGER.atWarning().log("%s", line(event, keysAndValues));
  }

  /** Logs a failure with its stack trace. */
  public void failure(String event, Throwable cause, Object... keysAndValues) {
    Backend.LOGGER.atSevere().withCause(cause).log("%s", line(event, keysAndValues));
  }

  /** Returns the line for an event. */
  String line(String event, Object... keysAndValues) {
    String head = EventLine.of("component", component, "event", event);
    return keysAndValues.length == 0 ? head : head + " " + EventLine.of(keysAndValues);
  }

  /** Defers the choice of the log manager until the process has been configured. */
  private static final class Backend {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private Backend() {}
  }
}
