package org.parsleyhead.core.account;

import org.parsleyhead.core.api.Preconditions;

/**
 * A caller's key as it is known inside the system: its digest.
 *
 * <p>Immutable and thread-safe. The key itself never leaves the code that reads it from the socket.
 *
 * @param digest the SHA-256 digest, 64 lower-case hexadecimal digits
 */
public record CallerKey(String digest) {

  /** Checks the digest. */
  public CallerKey {
    Preconditions.requireNonNull(digest, "digest");
  }
}
