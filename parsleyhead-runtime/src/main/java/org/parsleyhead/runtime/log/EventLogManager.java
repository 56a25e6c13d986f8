package org.parsleyhead.runtime.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process ends, so that the events of a planned
 * stop are written too.
 *
 * <p>Thread-safe. Public because the JDK creates it by its name.
 */
public final class EventLogManager extends LogManager {

  /** The JDK calls this when the process ends, concurrently with the other shutdown hooks. */
  @Override
  public void reset() {
    // Handlers stay; the console handler flushes each record.
  }
}
