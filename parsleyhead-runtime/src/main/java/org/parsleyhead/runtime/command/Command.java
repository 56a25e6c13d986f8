package org.parsleyhead.runtime.command;

import org.parsleyhead.core.api.Preconditions;

/**
 * A command: its description and the code that it runs.
 *
 * <p>Immutable; as thread-safe as the body.
 *
 * @param description the name, operands and options
 * @param body runs the command
 */
public record Command(CommandDescription description, CommandBody body) {

  /** Requires a description and a body. */
  public Command {
    Preconditions.requireNonNull(description, "description");
    Preconditions.requireNonNull(body, "body");
  }
}
