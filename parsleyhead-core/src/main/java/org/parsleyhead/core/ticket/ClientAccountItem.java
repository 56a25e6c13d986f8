package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.Preconditions;

/**
 * The declaration of a client account, with its rate and burst over all hosts together.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the account name
 * @param tokensPerSecond the rate, in tokens per second
 * @param burstTokens the burst, in tokens
 */
public record ClientAccountItem(ClientAccountName name, long tokensPerSecond, long burstTokens)
    implements Item {

  /** Validates the name and the limits. */
  public ClientAccountItem {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNegative(tokensPerSecond, "tokens_per_second");
    Preconditions.requireNonNegative(burstTokens, "burst_tokens");
  }

  /** Returns the item key of a client account. */
  public static ItemKey keyOf(ClientAccountName name) {
    return new ItemKey(ItemKind.CLIENT_ACCOUNT, name.text());
  }

  @Override
  public ItemKey key() {
    return keyOf(name);
  }
}
