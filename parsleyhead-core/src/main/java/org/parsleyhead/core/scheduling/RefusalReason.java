package org.parsleyhead.core.scheduling;

/** Why a request was refused before any part of it was sent. */
public enum RefusalReason {
  /** The expected wait exceeds the deadline of the request. */
  OVERLOADED,
  /** The request was still waiting at its deadline. */
  DEADLINE_PASSED,
  /** No engine may serve it. */
  NO_ENGINE
}
