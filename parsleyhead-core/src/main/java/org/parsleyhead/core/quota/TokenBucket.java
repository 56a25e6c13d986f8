package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * The tokens of one client account that one host may spend.
 *
 * <p>Immutable and thread-safe. The level is between zero and the burst of the parts held. All
 * results are rounded down. Amounts are in microtokens.
 *
 * @param limits the limits of the account
 * @param parts the parts of the limits that the host holds
 * @param level the tokens that may be spent
 * @param updatedAt the instant for which the level was computed
 * @param totalRefunded the sum of all refunds so far
 * @param history the minimum spare capacity since each charge, total refunds included
 */
record TokenBucket(
    Limits limits,
    long parts,
    long level,
    MonotonicTime updatedAt,
    long totalRefunded,
    RefundHistory history) {

  /** Returns a bucket without parts or tokens. */
  static TokenBucket empty(Limits limits, MonotonicTime time) {
    return new TokenBucket(limits, 0, 0, time, 0, RefundHistory.EMPTY);
  }

  /** Returns the maximum level of this bucket. */
  long capacity() {
    return limits.capacity(parts);
  }

  /** Returns the tokens of some of the parts if the level is spread evenly over all parts. */
  long proportionalTokens(long someParts) {
    return parts == 0 ? 0 : Math.min(level, (long) ((double) level * someParts / parts));
  }

  /** Returns this bucket refilled up to an instant, or itself if the instant is not later. */
  TokenBucket advance(MonotonicTime time) {
    if (!updatedAt.isBefore(time)) {
      return this;
    }
    long elapsed = time.nanoseconds() - updatedAt.nanoseconds();
    long filled = Math.min(capacity() - level, accrued(elapsed)) + level;
    return new TokenBucket(limits, parts, filled, time, totalRefunded, history);
  }

  /** Returns this bucket with a new number of parts; tokens beyond its capacity are lost. */
  TokenBucket withParts(long newParts) {
    return newParts == parts ? this : resized(limits, newParts);
  }

  /** Returns this bucket with new limits; tokens beyond its capacity are lost. */
  TokenBucket withLimits(Limits newLimits) {
    return resized(newLimits, parts);
  }

  /** Returns this bucket without tokens; earlier charges can no longer be refunded. */
  TokenBucket emptied() {
    return new TokenBucket(
        limits, parts, 0, updatedAt, totalRefunded, history.observe(totalRefunded));
  }

  /** Returns this bucket after a charge of at most its level. */
  TokenBucket charge(long amount) {
    return new TokenBucket(
        limits,
        parts,
        level - amount,
        updatedAt,
        totalRefunded,
        history.observe(adjustedSpareCapacity()));
  }

  /** Returns this bucket after tokens were added; those beyond its capacity are lost. */
  TokenBucket credit(long amount) {
    long filled = level + Math.min(amount, capacity() - level);
    return observed(new TokenBucket(limits, parts, filled, updatedAt, totalRefunded, history));
  }

  /** Returns this bucket after a refund of unused tokens, charged at a history position. */
  TokenBucket refund(long position, long amount) {
    long minimum = Math.min(history.minimumSince(position), adjustedSpareCapacity());
    long granted = Math.max(0, Math.min(amount, minimum - totalRefunded));
    return new TokenBucket(
        limits, parts, level + granted, updatedAt, totalRefunded + granted, history);
  }

  /** Returns the history position of a charge that was just made. */
  long historyPosition() {
    return history.nextPosition();
  }

  private TokenBucket resized(Limits newLimits, long newParts) {
    long kept = Math.min(level, newLimits.capacity(newParts));
    RefundHistory before = history.observe(adjustedSpareCapacity());
    return observed(new TokenBucket(newLimits, newParts, kept, updatedAt, totalRefunded, before));
  }

  private static TokenBucket observed(TokenBucket bucket) {
    return new TokenBucket(
        bucket.limits,
        bucket.parts,
        bucket.level,
        bucket.updatedAt,
        bucket.totalRefunded,
        bucket.history.observe(bucket.adjustedSpareCapacity()));
  }

  private long adjustedSpareCapacity() {
    return capacity() - level + totalRefunded;
  }

  private long accrued(long nanoseconds) {
    long perSecond = limits.rate(parts);
    long seconds = nanoseconds / QuotaUnits.NANOSECONDS_PER_SECOND;
    long remainder = nanoseconds % QuotaUnits.NANOSECONDS_PER_SECOND;
    if (perSecond == 0) {
      return 0;
    }
    if (seconds > capacity() / perSecond) {
      return capacity();
    }
    return seconds * perSecond
        + remainder * (perSecond / QuotaUnits.NANOSECONDS_PER_SECOND)
        + remainder
            * (perSecond % QuotaUnits.NANOSECONDS_PER_SECOND)
            / QuotaUnits.NANOSECONDS_PER_SECOND;
  }
}
