package org.parsleyhead.runtime.command;

/**
 * Starts a service from its settings.
 *
 * @param <T> the type of the settings
 */
@FunctionalInterface
public interface ServiceStarter<T> {

  /**
   * Starts the service and returns once it can be used.
   *
   * @throws org.parsleyhead.core.api.ParsleyheadException if it cannot start
   */
  Service start(T settings, Console console);
}
