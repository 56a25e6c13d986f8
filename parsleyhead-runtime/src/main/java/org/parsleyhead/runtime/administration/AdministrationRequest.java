package org.parsleyhead.runtime.administration;

import java.util.Arrays;
import java.util.OptionalLong;
import org.parsleyhead.core.api.Preconditions;

/**
 * A request to the operators' port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the path
 * @param query the raw query, possibly empty
 */
public record AdministrationRequest(String path, String query) {

  /** Checks the parts. */
  public AdministrationRequest {
    Preconditions.requireNonNull(path, "path");
    Preconditions.requireNonNull(query, "query");
  }

  /** Returns a whole number from the query; empty if it is absent or no such number. */
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
