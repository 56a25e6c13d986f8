package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * The tokens of one client account that one host may spend.
 *
 * <p>Immutable and thread-safe. The level is between zero and the burst of the parts held. All
 * rounding is downwards. Amounts are microtokens.
 *
 * @param limits the limits of the account
 * @param parts the parts of the limits that the host holds
 * @param level the tokens that may be spent
 * @param updatedAt the instant up to which the level is counted
 * @param refunded the sum of all refunds so far
 * @param history the spare room since each charge, with all refunds added
 */
record TokenBucket(
    Limits limits,
    long parts,
    long level,
    MonotonicTime updatedAt,
    long refunded,
    RefundHistory history) {

  /** Returns a bucket without parts and tokens. */
  static TokenBucket empty(Limits limits, MonotonicTime time) {
    return new TokenBucket(limits, 0, 0, time, 0, RefundHistory.EMPTY);
  }

  /** Returns the most tokens that this bucket can hold. */
  long capacity() {
    return limits.capacity(parts);
  }

  /** Returns the tokens that some of the parts hold when all are filled alike. */
  long portion(long someParts) {
    return parts == 0 ? 0 : Math.min(level, (long) ((double) level * someParts / parts));
  }

  /** Returns this bucket at a later instant; itself if the instant is not later. */
  TokenBucket advance(MonotonicTime time) {
    if (!updatedAt.isBefore(time)) {
      return this;
    }
    long elapsed = time.nanoseconds() - updatedAt.nanoseconds();
    long filled = Math.min(capacity() - level, gain(elapsed)) + level;
    return new TokenBucket(limits, parts, filled, time, refunded, history);
  }

  /** Returns this bucket with another number of parts; tokens beyond its capacity are lost. */
  TokenBucket withParts(long newParts) {
    return newParts == parts ? this : resized(limits, newParts);
  }

  /** Returns this bucket under other limits; tokens beyond its capacity are lost. */
  TokenBucket withLimits(Limits newLimits) {
    return resized(newLimits, parts);
  }

  /** Returns this bucket without its tokens; nothing charged before is refunded. */
  TokenBucket emptied() {
    return new TokenBucket(limits, parts, 0, updatedAt, refunded, history.observe(refunded));
  }

  /** Returns this bucket after tokens were taken out, at most its level. */
  TokenBucket charge(long amount) {
    return new TokenBucket(
        limits, parts, level - amount, updatedAt, refunded, history.observe(markedRoom()));
  }

  /** Returns this bucket after tokens came in; what finds no room is lost. */
  TokenBucket receive(long amount) {
    long filled = level + Math.min(amount, capacity() - level);
    return observed(new TokenBucket(limits, parts, filled, updatedAt, refunded, history));
  }

  /** Returns this bucket after tokens that were charged at a mark turned out not to be used. */
  TokenBucket refund(long mark, long amount) {
    long least = Math.min(history.leastSince(mark), markedRoom());
    long granted = Math.max(0, Math.min(amount, least - refunded));
    return new TokenBucket(limits, parts, level + granted, updatedAt, refunded + granted, history);
  }

  /** Returns the mark of a charge that was just made. */
  long mark() {
    return history.nextMark();
  }

  private TokenBucket resized(Limits newLimits, long newParts) {
    long kept = Math.min(level, newLimits.capacity(newParts));
    RefundHistory before = history.observe(markedRoom());
    return observed(new TokenBucket(newLimits, newParts, kept, updatedAt, refunded, before));
  }

  private static TokenBucket observed(TokenBucket bucket) {
    return new TokenBucket(
        bucket.limits,
        bucket.parts,
        bucket.level,
        bucket.updatedAt,
        bucket.refunded,
        bucket.history.observe(bucket.markedRoom()));
  }

  private long markedRoom() {
    return capacity() - level + refunded;
  }

  private long gain(long nanoseconds) {
    long perSecond = limits.rate(parts);
    long seconds = nanoseconds / QuotaUnits.NANOSECONDS_PER_SECOND;
    long rest = nanoseconds % QuotaUnits.NANOSECONDS_PER_SECOND;
    if (perSecond == 0) {
      return 0;
    }
    if (seconds > capacity() / perSecond) {
      return capacity();
    }
    return seconds * perSecond
        + rest * (perSecond / QuotaUnits.NANOSECONDS_PER_SECOND)
        + rest
            * (perSecond % QuotaUnits.NANOSECONDS_PER_SECOND)
            / QuotaUnits.NANOSECONDS_PER_SECOND;
  }
}
