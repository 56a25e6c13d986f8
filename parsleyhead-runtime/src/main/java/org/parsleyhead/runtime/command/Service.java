package org.parsleyhead.runtime.command;

/**
 * A running service of a program, which runs until it is stopped.
 *
 * <p>Implementations are thread-safe; {@link #stop()} is called once.
 */
@FunctionalInterface
public interface Service {

  /** Completes the work in progress, releases all resources and returns the exit status. */
  ExitStatus stop();
}
