package org.parsleyhead.core.placement;

import org.parsleyhead.core.api.Preconditions;

/**
 * The settings of the decisions where requests may be sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the name of this host in the sets of live hosts
 * @param expectsPeers whether this host was told of other hosts at its start
 */
public record PlacementSettings(String self, boolean expectsPeers) {

  /** Validates the components. */
  public PlacementSettings {
    Preconditions.requireNonNull(self, "self");
  }
}
