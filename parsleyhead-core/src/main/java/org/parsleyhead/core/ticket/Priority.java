package org.parsleyhead.core.ticket;

/** The class of a request: whether a person waits for its tokens. */
public enum Priority {
  /** A person waits; the first token must come soon. */
  INTERACTIVE,
  /** Nobody waits; the request fills batches. */
  BATCH
}
