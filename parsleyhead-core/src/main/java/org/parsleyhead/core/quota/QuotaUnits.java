package org.parsleyhead.core.quota;

/**
 * The units in which limits and shares are counted.
 *
 * <p>Stateless and thread-safe. Tokens are counted in microtokens and shares in millionths, so that
 * a share of a number of tokens, in microtokens, is the product of the two without rounding.
 */
public final class QuotaUnits {

  /** The number of parts into which the limits of a client account are divided. */
  public static final long TOTAL_PARTS = 1_000_000;

  /** The number of microtokens in one token. */
  public static final long MICROTOKENS_PER_TOKEN = TOTAL_PARTS;

  /** The maximum supported limit, in tokens or tokens per second. */
  public static final long MAXIMUM_LIMIT = 1_000_000_000_000L;

  static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

  private QuotaUnits() {}

  /** Converts tokens to microtokens, capped at {@link #MAXIMUM_LIMIT} tokens. */
  static long microtokens(long tokens) {
    return Math.min(tokens, MAXIMUM_LIMIT) * MICROTOKENS_PER_TOKEN;
  }
}
