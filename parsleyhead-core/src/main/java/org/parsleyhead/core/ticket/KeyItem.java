package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Preconditions;

/**
 * The declaration of a caller's key. Only the digest of the key is stored.
 *
 * <p>Immutable and thread-safe.
 *
 * @param digest the SHA-256 digest of the key, 64 lower-case hexadecimal digits
 * @param clientAccount the client account that the key belongs to
 */
public record KeyItem(String digest, ClientAccountName clientAccount) implements Item {

  /** Validates the digest and the account. */
  public KeyItem {
    Preconditions.requireNonNull(digest, "digest");
    Preconditions.require(
        digest.matches("[0-9a-f]{64}"), "digest", "must be 64 lower-case hexadecimal digits");
    Preconditions.requireNonNull(clientAccount, "client_account");
  }

  /** Returns the item key of a caller's key. */
  public static ItemKey keyOf(String digest) {
    return new ItemKey(ItemKind.KEY, digest);
  }

  @Override
  public ItemKey key() {
    return keyOf(digest);
  }
}
