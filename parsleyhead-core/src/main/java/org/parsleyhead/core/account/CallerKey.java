package org.parsleyhead.core.account;

import org.parsleyhead.core.api.Preconditions;

/**
 * The digest of a caller's key, which stands for the key inside the system.
 *
 * <p>Immutable and thread-safe. The key itself never leaves the code that reads it from the socket.
 *
 * @param digest the SHA-256 digest, 64 lower-case hexadecimal digits
 */
public record CallerKey(String digest) {

  /** Requires the digest to be present. */
  public CallerKey {
    Preconditions.requireNonNull(digest, "digest");
  }
}
