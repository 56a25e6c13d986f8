package org.parsleyhead.core.dispatch;

/** How much of a response an attempt has received. Immutable and thread-safe. */
public enum ResponseStage {
  /** Nothing. */
  NONE,
  /** The head, and no part of the answer that can be delivered. */
  HEAD,
  /** A part of the answer. */
  CONTENT
}
