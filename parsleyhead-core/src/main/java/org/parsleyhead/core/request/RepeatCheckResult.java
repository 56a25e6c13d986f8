package org.parsleyhead.core.request;

/** The result of checking whether a request that is not idempotent was received before. */
public enum RepeatCheckResult {
  /** The request was not received before; it is now recorded and may run. */
  FIRST,
  /** The same request was received before. */
  DUPLICATE,
  /** Too few hosts that hold the records answered, or they may have lost records. */
  UNAVAILABLE
}
