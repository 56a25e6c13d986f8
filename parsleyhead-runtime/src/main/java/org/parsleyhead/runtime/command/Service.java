package org.parsleyhead.runtime.command;

/**
 * A running service of a program that stays until it is told to stop.
 *
 * <p>Implementations are thread-safe; {@link #stop()} is called once.
 */
@FunctionalInterface
public interface Service {

  /** Finishes the work in progress, releases everything and returns how it went. */
  ExitStatus stop();
}
