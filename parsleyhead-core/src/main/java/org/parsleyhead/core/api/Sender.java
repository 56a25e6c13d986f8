package org.parsleyhead.core.api;

/**
 * Who sent a peer message.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the name of the host
 * @param incarnation the run of its process
 */
public record Sender(HostName host, Incarnation incarnation) {

  /** Checks the parts. */
  public Sender {
    Preconditions.requireNonNull(host, "host");
    Preconditions.requireNonNull(incarnation, "incarnation");
  }
}
