package org.parsleyhead.core.routing;

/** How an attempt ended, as far as the health of the upstream depends on it. */
public enum AttemptOutcome {
  /** The upstream answered, whatever the answer means for the caller. */
  ANSWERED,
  /** No connection, no answer in time, a broken answer, or one that reports an inner failure. */
  FAILED,
  /** The attempt ended for a reason that tells nothing of the upstream. */
  ABANDONED
}
