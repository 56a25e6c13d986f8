package org.parsleyhead.core.dispatch;

/** The stage of the shutdown of a process. Immutable and thread-safe. */
public enum StopStage {
  /** No shutdown is in progress. */
  RUNNING,
  /** Streams are refused, since they would not complete in time; other requests are admitted. */
  REJECT_STREAMS,
  /** All new requests are refused. */
  REJECT_ALL
}
