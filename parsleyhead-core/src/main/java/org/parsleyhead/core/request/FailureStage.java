package org.parsleyhead.core.request;

/** The stage that an attempt had reached when it failed. */
public enum FailureStage {
  /** The write deadline had passed; nothing was written. */
  TOO_LATE(true),
  /** The upstream could not be reached; nothing of the request was written. */
  BEFORE_WRITE(true),
  /** The upstream refused the request before it ran it. */
  REFUSED_BY_UPSTREAM(true),
  /** A part of the request was written; no part of the answer was passed to the caller. */
  AFTER_WRITE(false),
  /** A part of the answer was passed to the caller. */
  DURING_ANSWER(false);

  private final boolean certainlyNotRun;

  FailureStage(boolean certainlyNotRun) {
    this.certainlyNotRun = certainlyNotRun;
  }

  /** Returns whether the upstream certainly did not run the request in this attempt. */
  public boolean certainlyNotRun() {
    return certainlyNotRun;
  }
}
