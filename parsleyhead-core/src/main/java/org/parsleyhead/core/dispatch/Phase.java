package org.parsleyhead.core.dispatch;

/** The phase of an active request. Immutable and thread-safe. */
enum Phase {
  /** Waits for the load of an adapter at the chosen instance. */
  LOADING,
  /** Was sent to an instance and waits for the response. */
  SENT,
  /** Waits for capacity; not assigned to an instance. */
  WAITING
}
