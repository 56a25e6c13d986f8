package org.parsleyhead.runtime.log;

import com.google.common.flogger.FluentLogger;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Logger;

/**
 * Writes one line of key=value pairs for each event.
 *
 * <p>Immutable and thread-safe. Values with spaces, quotes or equals signs are quoted. Nobody
 * passes a caller's key to a log.
 */
public final class EventLog {

  private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

  private final String component;

  /** Creates a log for one component, which stands in each of its lines. */
  public EventLog(String component) {
    this.component = component;
  }

  /**
   * Sends all logs of this process to the standard error stream, one line for each event. Called
   * first in a program, before anything has been logged.
   */
  public static void configureProcess() {
    System.setProperty(LOG_MANAGER_PROPERTY, EventLogManager.class.getName());
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    Handler handler = new ConsoleHandler();
    handler.setFormatter(new EventLineFormatter());
    root.addHandler(handler);
  }

  /** Logs an event of ordinary operation. */
  public void info(String event, Object... keysAndValues) {
    Backend.LOGGER.atInfo().log("%s", line(event, keysAndValues));
  }

  /** Logs an event that an operator should look at. */
  public void warning(String event, Object... keysAndValues) {
    Backend.LOGGER.atWarning().log("%s", line(event, keysAndValues));
  }

  /** Logs a failure with its stack trace. */
  public void failure(String event, Throwable cause, Object... keysAndValues) {
    Backend.LOGGER.atSevere().withCause(cause).log("%s", line(event, keysAndValues));
  }

  /** Returns the line of an event. */
  String line(String event, Object... keysAndValues) {
    StringBuilder line = new StringBuilder();
    line.append("component=").append(component).append(" event=").append(event);
    for (int index = 0; index + 1 < keysAndValues.length; index += 2) {
      line.append(' ').append(keysAndValues[index]).append('=');
      appendValue(line, String.valueOf(keysAndValues[index + 1]));
    }
    return line.toString();
  }

  private static void appendValue(StringBuilder line, String value) {
    boolean plain =
        !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c < 127 && c != '"' && c != '=');
    if (plain) {
      line.append(value);
      return;
    }
    line.append('"');
    value
        .chars()
        .forEach(
            character -> {
              if (character == '"' || character == '\\') {
                line.append('\\').append((char) character);
              } else if (character < ' ') {
                line.append(' ');
              } else {
                line.append((char) character);
              }
            });
    line.append('"');
  }

  /** Defers the choice of the log manager until the process is configured. */
  private static final class Backend {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private Backend() {}
  }
}
