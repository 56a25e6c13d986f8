package org.parsleyhead.core.placement;

/**
 * What a host knows about where requests may be sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param evacuated the evacuated failure domains
 * @param cold the servers that are cold after a start or an evacuation
 */
public record PlacementState(EvacuatedDomains evacuated, ColdServers cold) {

  /** The state of a host that has not read anything. */
  public static final PlacementState EMPTY =
      new PlacementState(EvacuatedDomains.NONE, ColdServers.NONE);

  /** Returns this state with other evacuated domains. */
  public PlacementState withEvacuated(EvacuatedDomains next) {
    return new PlacementState(next, cold);
  }

  /** Returns this state with other cold servers. */
  public PlacementState withCold(ColdServers next) {
    return new PlacementState(evacuated, next);
  }
}
