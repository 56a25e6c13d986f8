package org.parsleyhead.runtime.command;

/**
 * Starts a service with its settings.
 *
 * @param <T> the type of the settings
 */
@FunctionalInterface
public interface ServiceStarter<T> {

  /**
   * Starts the service and returns once it is operational.
   *
   * @throws org.parsleyhead.core.api.ParsleyheadException if the service cannot start
   */
  Service start(T settings, Console console);
}
