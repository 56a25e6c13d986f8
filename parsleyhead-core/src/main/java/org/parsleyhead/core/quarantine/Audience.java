package org.parsleyhead.core.quarantine;

import java.util.Optional;

/**
 * The hosts that evidence is meant for.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the only host that it is meant for; empty for all
 * @param relayed whether the sender adds nothing to what another host has told it
 */
public record Audience(Optional<String> host, boolean relayed) {

  /** All hosts, for evidence of the sender. */
  public static final Audience ALL = new Audience(Optional.empty(), false);

  /** All hosts, for evidence that the sender has from another host. */
  public static final Audience RELAY = new Audience(Optional.empty(), true);

  /** Returns the audience of a reply to a host. */
  public static Audience only(String host) {
    return new Audience(Optional.of(host), false);
  }
}
