package org.parsleyhead.core.request;

/**
 * The result of an attempt at an upstream, as reported to scheduling and routing.
 *
 * <p>The lower-case names of the constants are values of a metric label.
 */
public enum AttemptResult {
  /** The complete answer was passed to the caller. */
  FINISHED,
  /** The upstream could not be reached; nothing was written. */
  UNREACHABLE,
  /** The attempt failed after a part of the request was written. */
  FAILED,
  /** The request was not written before its write deadline. */
  TOO_LATE,
  /** The upstream refused the request because it does not hold the adapter. */
  ADAPTER_ABSENT,
  /** The attempt was cancelled, for example by its caller or its deadline. */
  CANCELLED
}
