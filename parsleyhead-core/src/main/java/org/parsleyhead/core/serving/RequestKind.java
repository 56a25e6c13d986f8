package org.parsleyhead.core.serving;

/** Whether a request may run more than once and is streamed. Immutable and thread-safe. */
public enum RequestKind {
  /** A complete response; may run more than once. */
  IDEMPOTENT(true, false),
  /** A complete response; runs at most once. */
  NON_IDEMPOTENT(false, false),
  /** A stream of numbered events that another instance can resume. */
  RESUMABLE_STREAM(true, true),
  /** A stream that runs at most once. */
  STREAM(false, true);

  private final boolean repeatable;
  private final boolean stream;

  RequestKind(boolean repeatable, boolean stream) {
    this.repeatable = repeatable;
    this.stream = stream;
  }

  /** Returns whether the request may be sent again after it may have run. */
  public boolean repeatable() {
    return repeatable;
  }

  /** Returns whether the response is a stream of events. */
  public boolean stream() {
    return stream;
  }
}
