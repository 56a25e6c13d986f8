package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.Preconditions;

/**
 * A page of the operators' port.
 *
 * <p>Immutable; as thread-safe as the handler.
 *
 * @param path the whole path
 * @param handler answers requests
 */
public record AdministrationPage(String path, AdministrationHandler handler) {

  /** Checks the parts. */
  public AdministrationPage {
    Preconditions.requireName(path, "path");
    Preconditions.require(path.startsWith("/"), "path", "must start with a slash");
    Preconditions.requireNonNull(handler, "handler");
  }
}
