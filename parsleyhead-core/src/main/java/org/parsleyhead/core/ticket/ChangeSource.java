package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * The source from which this host received a change. The string form is written to the audit trail.
 *
 * <p>Implementations are immutable and thread-safe.
 */
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
   * @param host the name of the host that sent the change
   */
  record Peer(HostName host) implements ChangeSource {

    /** Validates the host name. */
    public Peer {
      Preconditions.requireNonNull(host, "host");
    }

    @Override
    public String toString() {
      return host.text();
    }
  }
}
