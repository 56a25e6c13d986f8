package org.parsleyhead.runtime.command;

import org.parsleyhead.core.api.Preconditions;

/**
 * A command: its description and what it does.
 *
 * <p>Immutable; as thread-safe as the body.
 *
 * @param description what it is called and takes
 * @param body what it does
 */
public record Command(CommandDescription description, CommandBody body) {

  /** Checks the parts. */
  public Command {
    Preconditions.requireNonNull(description, "description");
    Preconditions.requireNonNull(body, "body");
  }
}
