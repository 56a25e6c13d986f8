package org.parsleyhead.core.request;

/** How far an attempt had come when it failed. */
public enum FailureStage {
  /** Nothing of the request was written to the upstream. */
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
