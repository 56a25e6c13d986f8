package org.parsleyhead.core.scheduling;

/** Why a request was refused before anything of it was sent. */
public enum RefusalReason {
  /** The queue cannot be served before the deadline. */
  OVERLOADED,
  /** The request waited until its deadline. */
  DEADLINE_PASSED,
  /** No engine may serve it. */
  NO_ENGINE
}
