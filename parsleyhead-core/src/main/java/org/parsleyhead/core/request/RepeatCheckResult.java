package org.parsleyhead.core.request;

/** Whether a request that is not idempotent may run. */
public enum RepeatCheckResult {
  /** It was not received before and is now recorded. */
  FIRST,
  /** The same request was received before. */
  DUPLICATE,
  /** The hosts that would know cannot be asked, or may have forgotten. */
  UNAVAILABLE
}
