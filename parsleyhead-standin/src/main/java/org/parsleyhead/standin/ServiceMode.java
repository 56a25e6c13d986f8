package org.parsleyhead.standin;

import java.util.Locale;

/** How a stand-in answers. */
public enum ServiceMode {
  /** Answers at once. */
  UP,
  /** Refuses connections. */
  DOWN,
  /** Answers each call with 503. */
  UNAVAILABLE,
  /** Answers from the view at the time of the change to this mode. */
  STALE,
  /** Answers after a delay. */
  SLOW,
  /** Accepts calls and never answers. */
  SILENT,
  /** Runs each call and answers it with 500. */
  FAILING,
  /** Runs each call and resets the connection in mid-answer. */
  RESETTING;

  /**
   * Reads a mode in lower case.
   *
   * @throws StandinException if there is no such mode
   */
  public static ServiceMode parse(String text) {
    for (ServiceMode mode : values()) {
      if (mode.text().equals(text)) {
        return mode;
      }
    }
    throw new StandinException(StandinException.BAD_REQUEST, "mode is unknown: " + text);
  }

  /** Returns the form in settings and calls. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
