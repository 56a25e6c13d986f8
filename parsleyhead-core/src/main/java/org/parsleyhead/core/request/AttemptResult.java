package org.parsleyhead.core.request;

/** How an attempt at an upstream ended, for those who choose upstreams. */
public enum AttemptResult {
  /** The answer was complete. */
  FINISHED,
  /** The upstream could not be reached. */
  UNREACHABLE,
  /** The upstream failed after something was written. */
  FAILED,
  /** The request was not written in time. */
  TOO_LATE,
  /** The upstream did not have the adapter. */
  ADAPTER_ABSENT,
  /** The caller or the deadline ended it. */
  CANCELLED
}
