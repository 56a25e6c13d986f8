package org.parsleyhead.core.request;

/** What is known of the execution of a request that was not answered in full. */
public enum ExecutionOutcome {
  /** It certainly did not run. */
  NOT_RUN("not_run"),
  /** It may have run, in full or in part. */
  UNKNOWN("unknown");

  private final String text;

  ExecutionOutcome(String text) {
    this.text = text;
  }

  /** Returns the form that callers read. */
  public String text() {
    return text;
  }
}
