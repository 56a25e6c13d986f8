package org.parsleyhead.core.scheduling;

/** How a dispatched request ended, as far as its scheduling depends on it. */
public enum RequestOutcome {
  /** The engine answered it. */
  COMPLETED,
  /** The engine did not hold the adapter and ran nothing. */
  ADAPTER_MISSING,
  /** The engine could not be reached, broke off or refused. */
  FAILED,
  /** The caller went away, or the request never left because its pin had ended. */
  ABANDONED
}
