package org.parsleyhead.standin;

import java.util.Locale;

/** How a stand-in responds to requests. */
public enum ServiceMode {
  /** Responds without an additional delay. */
  UP,
  /** Refuses connections. */
  DOWN,
  /** Responds to each request with status 503. */
  UNAVAILABLE,
  /** Responds from a snapshot taken when this mode was entered. */
  STALE,
  /** Responds after an additional delay. */
  SLOW,
  /** Accepts requests and never responds. */
  SILENT,
  /** Fails each request; a plain service runs it and responds with status 500. */
  FAILING,
  /** Runs each request and resets the connection in the middle of the response. */
  RESETTING;

  /**
   * Parses the name of a mode, which is in lower case.
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

  /** Returns the name in lower case, as settings and requests use it. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
