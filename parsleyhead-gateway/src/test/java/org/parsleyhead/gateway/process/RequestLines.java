package org.parsleyhead.gateway.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Collects the log lines of each request until it is closed. Thread-safe. */
final class RequestLines extends Handler implements AutoCloseable {

  private static final Pattern REQUEST = Pattern.compile("event=(\\S+) request=(\\S+)");

  /** Kept, since the log manager holds loggers weakly. */
  private final Logger logger = Logger.getLogger("org.parsleyhead");

  private final Level formerLevel = logger.getLevel();
  private final long start = System.nanoTime();
  private final Map<String, List<String>> lines = new ConcurrentHashMap<>();

  RequestLines() {
    setLevel(Level.ALL);
    logger.setLevel(Level.CONFIG);
    logger.addHandler(this);
  }

  /** Returns the lines of a request, each with the milliseconds since the start. */
  List<String> of(String identifier) {
    return lines.getOrDefault(identifier, List.of());
  }

  @Override
  public void publish(LogRecord record) {
    Matcher matcher = REQUEST.matcher(record.getMessage());
    if (matcher.find()) {
      long elapsed = (System.nanoTime() - start) / 1_000_000;
      lines
          .computeIfAbsent(matcher.group(2), key -> new CopyOnWriteArrayList<>())
          .add(elapsed + " " + record.getMessage());
    }
  }

  @Override
  public void flush() {}

  @Override
  public void close() {
    logger.removeHandler(this);
    logger.setLevel(formerLevel);
  }
}
