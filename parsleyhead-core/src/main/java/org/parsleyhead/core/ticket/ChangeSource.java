package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/** From whom a change was heard. Implementations are immutable and thread-safe. */
public sealed interface ChangeSource {

  /** The configuration service. */
  record Service() implements ChangeSource {

    @Override
    public String toString() {
      return "service";
    }
  }

  /**
   * Another host.
   *
   * @param host the host
   */
  record Peer(HostName host) implements ChangeSource {

    /** Checks the host. */
    public Peer {
      Preconditions.requireNonNull(host, "host");
    }

    @Override
    public String toString() {
      return host.text();
    }
  }
}
