package org.parsleyhead.runtime.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown, so that events of a graceful shutdown are
 * logged.
 *
 * <p>Thread-safe. Public because the JDK instantiates it by name.
 */
public final class EventLogManager extends LogManager {

  /**
   * Does nothing. The JDK calls this method during shutdown, concurrently with the other shutdown
   * hooks.
   */
  @Override
  public void reset() {
    // Keeps the handlers. The console handler flushes each record itself.
  }
}
