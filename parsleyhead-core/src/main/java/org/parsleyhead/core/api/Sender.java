package org.parsleyhead.core.api;

/**
 * The sender of a peer message.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the name of the host
 * @param incarnation the incarnation of its process
 */
public record Sender(HostName host, Incarnation incarnation) {

  /** Requires both components to be present. */
  public Sender {
    Preconditions.requireNonNull(host, "host");
    Preconditions.requireNonNull(incarnation, "incarnation");
  }
}
