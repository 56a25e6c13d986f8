package org.parsleyhead.core.engine;

/** How an order to an engine ended. */
public enum OrderOutcome {
  /** The engine carried it out. */
  DONE,
  /** The engine answered that it did not carry it out. */
  FAILED,
  /** The engine refused its fencing number. */
  FENCED,
  /** No answer came; the engine may have carried it out or may yet do so. */
  UNKNOWN
}
