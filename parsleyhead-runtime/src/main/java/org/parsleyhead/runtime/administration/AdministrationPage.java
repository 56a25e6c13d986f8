package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.Preconditions;

/**
 * A page of the administration port.
 *
 * <p>Immutable; as thread-safe as the handler.
 *
 * @param path the absolute path, matched exactly
 * @param handler handles the requests to the page
 */
public record AdministrationPage(String path, AdministrationHandler handler) {

  /** Requires an absolute path and a handler. */
  public AdministrationPage {
    Preconditions.requireName(path, "path");
    Preconditions.require(path.startsWith("/"), "path", "must start with a slash");
    Preconditions.requireNonNull(handler, "handler");
  }
}
