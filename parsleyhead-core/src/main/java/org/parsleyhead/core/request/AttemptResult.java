package org.parsleyhead.core.request;

/** How an attempt at an upstream ended, for those who choose upstreams. */
public enum AttemptResult {
  /** The answer was complete. */
  FINISHED,
  /** The upstream failed. */
  FAILED,
  /** The upstream did not have the adapter. */
  ADAPTER_ABSENT,
  /** The caller or the deadline ended it. */
  CANCELLED
}
