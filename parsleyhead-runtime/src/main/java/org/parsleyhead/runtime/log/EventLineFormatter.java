package org.parsleyhead.runtime.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one line that starts with time and level. Thread-safe. */
final class EventLineFormatter extends Formatter {

  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder();
    line.append("time=").append(record.getInstant());
    line.append(" level=").append(record.getLevel().getName().toLowerCase(Locale.ROOT));
    line.append(' ').append(formatMessage(record));
    if (record.getThrown() != null) {
      line.append(" trace=\"").append(trace(record.getThrown())).append('"');
    }
    return line.append(System.lineSeparator()).toString();
  }

  private static String trace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text));
    return text.toString().replace('"', '\'').replaceAll("\\s*\\R\\s*", " | ");
  }
}
