package org.parsleyhead.core.scheduling;

/** The outcome of a dispatched request, as far as scheduling depends on it. */
public enum RequestOutcome {
  /** The engine answered the request. */
  COMPLETED,
  /** The engine did not hold the adapter and did not run the request. */
  ADAPTER_MISSING,
  /** The engine was unreachable, aborted the request or refused it. */
  FAILED,
  /** The caller cancelled the request, or it was not sent because its pin had expired. */
  ABANDONED
}
