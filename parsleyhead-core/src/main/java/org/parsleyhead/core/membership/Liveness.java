package org.parsleyhead.core.membership;

/** An opinion on whether a host lives. The order is that of increasing doubt. */
public enum Liveness {
  /** Nothing speaks against the host. */
  ALIVE,
  /** The host did not answer a probe and has not yet contradicted. */
  SUSPECTED,
  /** The host was suspected for longer than the suspicion timeout. */
  FAILED
}
