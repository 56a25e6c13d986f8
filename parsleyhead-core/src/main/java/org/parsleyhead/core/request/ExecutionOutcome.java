package org.parsleyhead.core.request;

/** What is known about the execution of a request that did not get a complete answer. */
public enum ExecutionOutcome {
  /** No upstream ran the request, not even in part. */
  NOT_RUN("not_run"),
  /** An upstream may have run the request, completely or in part. */
  UNKNOWN("unknown");

  private final String text;

  ExecutionOutcome(String text) {
    this.text = text;
  }

  /** Returns the value that is sent to callers. */
  public String text() {
    return text;
  }
}
