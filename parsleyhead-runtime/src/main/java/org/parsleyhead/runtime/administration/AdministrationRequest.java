package org.parsleyhead.runtime.administration;

import java.util.Arrays;
import java.util.OptionalLong;
import org.parsleyhead.core.api.Preconditions;

/**
 * A request to the administration port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the path
 * @param query the raw query, empty if there is none
 */
public record AdministrationRequest(String path, String query) {

  /** Requires a path and a query. */
  public AdministrationRequest {
    Preconditions.requireNonNull(path, "path");
    Preconditions.requireNonNull(query, "query");
  }

  /** Returns a query parameter as a non-negative integer; empty if it is absent or invalid. */
  public OptionalLong number(String name) {
    String prefix = name + "=";
    return Arrays.stream(query.split("&"))
        .filter(parameter -> parameter.startsWith(prefix))
        .map(parameter -> parameter.substring(prefix.length()))
        .filter(value -> value.matches("[0-9]{1,18}"))
        .mapToLong(Long::parseLong)
        .findFirst();
  }
}
