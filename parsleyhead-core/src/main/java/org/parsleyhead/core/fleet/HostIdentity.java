package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.Rendezvous;

/**
 * The endpoint of a host and hashes of it, which are computed once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint at which the host receives messages
 * @param hash the hash of the endpoint, equal on all hosts
 * @param hubWeight the weight of the host in the selection of hubs
 */
record HostIdentity(String endpoint, long hash, long hubWeight) {

  private static final long HUB_KEY_HASH = Rendezvous.hash("hub");
  private static final long ALIVE_KEY_HASH = Rendezvous.hash("alive");
  private static final long SILENT_KEY_HASH = Rendezvous.hash("silent");

  static HostIdentity of(String endpoint) {
    long hash = Rendezvous.hash(endpoint);
    return new HostIdentity(endpoint, hash, Rendezvous.weight(HUB_KEY_HASH, hash));
  }

  /** Returns the contribution of the host to the digest of a membership. */
  long digest(boolean alive) {
    return Rendezvous.weight(alive ? ALIVE_KEY_HASH : SILENT_KEY_HASH, hash);
  }
}
