package org.parsleyhead.core.engine;

/** The outcome of an order to an engine. */
public enum OrderOutcome {
  /** The engine carried out the order. */
  DONE,
  /** The engine reported that it did not carry out the order. */
  FAILED,
  /** The engine rejected the fencing number of the order. */
  FENCED,
  /** No answer was received; the engine may have carried out the order or may still do so. */
  UNKNOWN
}
