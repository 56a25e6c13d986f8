package org.parsleyhead.core.dispatch;

/** The outcome of an attempt at an instance. Immutable and thread-safe. */
public enum AttemptOutcome {
  /** The whole response was delivered to the caller. */
  COMPLETED(false, false),
  /** No part of the request was written. */
  NOT_SENT(true, true),
  /** The instance reported that it has no free capacity and did not run the request. */
  NO_ROOM(true, false),
  /** The instance reported that it is a different one, or does not hold the model or adapter. */
  MISDIRECTED(true, false),
  /** The instance responded with an error, which is buffered. */
  FAILED(false, true),
  /** The connection broke or the response was malformed; the request may have run. */
  BROKEN(false, true),
  /** This host closed the connection of a silent instance; the request may have run. */
  WITHDRAWN(false, false);

  private final boolean notRun;
  private final boolean countsAgainstInstance;

  AttemptOutcome(boolean notRun, boolean countsAgainstInstance) {
    this.notRun = notRun;
    this.countsAgainstInstance = countsAgainstInstance;
  }

  /** Returns whether the request is known not to have run. */
  public boolean notRun() {
    return notRun;
  }

  /** Returns whether the outcome counts as a failure of the instance. */
  public boolean countsAgainstInstance() {
    return countsAgainstInstance;
  }
}
