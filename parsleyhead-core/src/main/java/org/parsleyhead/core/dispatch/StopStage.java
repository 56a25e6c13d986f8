package org.parsleyhead.core.dispatch;

/** The stages of the shutdown of a process, in their order. Immutable and thread-safe. */
public enum StopStage {
  /** No shutdown is in progress. */
  RUNNING,
  /** Requests that may not end in time are refused; others are admitted. */
  REJECT_LATE,
  /** All new requests are refused. */
  REJECT_ALL
}
