package org.parsleyhead.core.request;

/** How far an attempt had come when it failed. */
public enum FailureStage {
  /** The time until which it might be written had passed; nothing was written. */
  TOO_LATE(true),
  /** The upstream could not be reached; nothing of the request was written. */
  BEFORE_WRITE(true),
  /** The upstream itself refused the request before running it. */
  REFUSED_BY_UPSTREAM(true),
  /** Something was written and no part of the answer was passed to the caller. */
  AFTER_WRITE(false),
  /** A part of the answer was passed to the caller. */
  DURING_ANSWER(false);

  private final boolean certainlyNotRun;

  FailureStage(boolean certainlyNotRun) {
    this.certainlyNotRun = certainlyNotRun;
  }

  /** Tells whether the attempt certainly did not run. */
  public boolean certainlyNotRun() {
    return certainlyNotRun;
  }
}
