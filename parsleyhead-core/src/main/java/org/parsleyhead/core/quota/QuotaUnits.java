package org.parsleyhead.core.quota;

/**
 * The units of the limits.
 *
 * <p>Stateless and thread-safe. Tokens are counted in microtokens and shares in millionths, so a
 * share of a number of tokens, in microtokens, is the product of the two and needs no rounding.
 */
public final class QuotaUnits {

  /** The parts into which the limits of a client account are divided. */
  public static final long PARTS = 1_000_000;

  /** The microtokens of one token. */
  public static final long MICROTOKENS_PER_TOKEN = PARTS;

  /** The highest limit that is accounted for, in tokens or tokens per second. */
  public static final long MAXIMUM_LIMIT = 1_000_000_000_000L;

  static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

  private QuotaUnits() {}

  /** Returns a number of tokens in microtokens, at most {@link #MAXIMUM_LIMIT} tokens. */
  static long microtokens(long tokens) {
    return Math.min(tokens, MAXIMUM_LIMIT) * MICROTOKENS_PER_TOKEN;
  }
}
