package org.parsleyhead.core.routing;

/** The outcome of an attempt with regard to the health of the upstream. */
public enum AttemptOutcome {
  /** The upstream responded, whatever the response means for the caller. */
  ANSWERED,
  /** No connection, a timeout, a malformed response, or one that reports an internal error. */
  FAILED,
  /** The attempt ended for a reason unrelated to the health of the upstream. */
  ABANDONED
}
