package org.parsleyhead.core.ticket;

/** The priority class of a request. The order is part of the encoding between hosts. */
public enum Priority {
  /** A person waits for the answer; the first token is needed soon. */
  INTERACTIVE,
  /** Nobody waits for the answer; the request fills batches. */
  BATCH
}
