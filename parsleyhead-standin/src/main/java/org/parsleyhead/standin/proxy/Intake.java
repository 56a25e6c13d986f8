package org.parsleyhead.standin.proxy;

/** What happens to callers that open a connection to a proxy. */
public enum Intake {
  /** Connections are accepted. */
  ACCEPTING,
  /** The kernel completes connections, which are accepted later and until then get no answer. */
  QUEUING,
  /** The kernel ignores requests for connections, since its queue of completed ones is full. */
  IGNORING
}
