package org.parsleyhead.core.membership;

/**
 * Whether a host is considered alive. A later constant takes precedence over an earlier one when
 * two updates have the same refutation number.
 */
public enum Liveness {
  /** The host is considered alive. */
  ALIVE,
  /** The host did not answer a probe and has not refuted the suspicion yet. */
  SUSPECTED,
  /** The host was suspected for longer than the suspicion timeout. */
  FAILED
}
