package org.parsleyhead.core.placement;

/**
 * What a host knows about where requests may be sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param evacuated the evacuated failure domains
 */
public record PlacementState(EvacuatedDomains evacuated) {

  /** The state of a host that has not read anything. */
  public static final PlacementState EMPTY = new PlacementState(EvacuatedDomains.NONE);

  /** Returns this state with other evacuated domains. */
  public PlacementState withEvacuated(EvacuatedDomains next) {
    return new PlacementState(next);
  }
}
