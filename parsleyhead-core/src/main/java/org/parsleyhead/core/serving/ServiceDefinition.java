package org.parsleyhead.core.serving;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * A service that routes refer to.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the service
 * @param maximumConnections the number of connections that one instance accepts from all hosts
 *     together
 * @param engine the capacity of its model servers; empty for a plain service
 */
public record ServiceDefinition(
    String name, int maximumConnections, Optional<EngineProfile> engine) {

  /** Validates the components. */
  public ServiceDefinition {
    Preconditions.requireName(name, "name");
    Preconditions.requireNonNull(engine, "engine");
  }
}
