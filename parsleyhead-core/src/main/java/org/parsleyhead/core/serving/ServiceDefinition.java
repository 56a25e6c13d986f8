package org.parsleyhead.core.serving;

import java.time.Duration;
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
 * @param coldDuration how long a server is cold after a start; zero if none is
 * @param coldRequestsPerSecond the requests that a cold server accepts from all hosts together; 0
 *     for no limit
 */
public record ServiceDefinition(
    String name,
    int maximumConnections,
    Optional<EngineProfile> engine,
    Duration coldDuration,
    double coldRequestsPerSecond) {

  /** Validates the components. */
  public ServiceDefinition {
    Preconditions.requireName(name, "name");
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(coldDuration, "coldDuration");
  }

  /** Creates a service whose servers are never cold. */
  public ServiceDefinition(String name, int maximumConnections, Optional<EngineProfile> engine) {
    this(name, maximumConnections, engine, Duration.ZERO, 0);
  }

  /** Returns whether the rate of requests to cold servers is limited. */
  public boolean limitsColdSends() {
    return coldRequestsPerSecond > 0;
  }
}
