package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.serving.AccountLimits;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * This host's replica of the token bucket that all hosts share for a client account.
 *
 * <p>Immutable and thread-safe. The bucket refills at the full rate of the account. It is drained
 * by what this host admits and by what the other hosts report or, between reports, are estimated to
 * admit. The level may be negative, so that units which several hosts admitted concurrently are
 * compensated before more are admitted. Over any period, all hosts together admit at most the rate,
 * the burst, and what is admitted within one report interval.
 *
 * @param level the units that may still be admitted; may be negative
 * @param updatedAt the instant up to which the level has been computed
 * @param admitted the units that this host has admitted since it started
 * @param peers the usage of the other hosts, by source name
 */
record AccountBucket(
    double level, MonotonicTime updatedAt, double admitted, PMap<String, PeerUsage> peers) {

  /** Fraction of the burst that a newly started host assumes to be available. */
  private static final double INITIAL_FRACTION = 0.5;

  static AccountBucket fresh(AccountLimits limits, MonotonicTime time) {
    return new AccountBucket(limits.burst() * INITIAL_FRACTION, time, 0, HashTreePMap.empty());
  }

  AccountBucket advance(AccountLimits limits, double rateTolerance, MonotonicTime time) {
    double seconds = (time.nanoseconds() - updatedAt.nanoseconds()) / 1e9;
    if (seconds <= 0) {
      return this;
    }
    double next = level + seconds * limits.ratePerSecond() * (1 + rateTolerance);
    PMap<String, PeerUsage> charged = peers;
    for (var peer : peers.entrySet()) {
      double extrapolated = peer.getValue().extrapolation(time);
      if (extrapolated > 0) {
        next -= extrapolated;
        charged = charged.plus(peer.getKey(), peer.getValue().withExtrapolationCharged(time));
      }
    }
    return new AccountBucket(Math.min(limits.burst(), next), time, admitted, charged);
  }

  /** Returns this bucket with new limits; units above the new burst are discarded. */
  AccountBucket withLimits(AccountLimits limits) {
    return new AccountBucket(Math.min(limits.burst(), level), updatedAt, admitted, peers);
  }

  /**
   * Returns whether another request may be admitted.
   *
   * @param tolerance the units by which the burst may be exceeded
   */
  boolean admits(double tolerance) {
    return level > -tolerance;
  }

  AccountBucket admit(double units) {
    return new AccountBucket(level - units, updatedAt, admitted + units, peers);
  }

  AccountBucket refund(double units) {
    return new AccountBucket(level + units, updatedAt, admitted - units, peers);
  }

  /**
   * Returns this bucket without the usage that a report of a source replaces: totals aggregated by
   * a hub replace all other sources, and a report of a single host replaces aggregated totals.
   */
  AccountBucket withSource(String host, boolean aggregated) {
    String source = DispatchTransition.sourceName(host, aggregated);
    PMap<String, PeerUsage> kept = peers;
    for (String known : peers.keySet()) {
      boolean replaced = aggregated || known.startsWith(DispatchTransition.AGGREGATE_PREFIX);
      if (replaced && !known.equals(source)) {
        kept = kept.minus(known);
      }
    }
    return new AccountBucket(level, updatedAt, admitted, kept);
  }

  AccountBucket withReport(String host, long incarnation, double total, MonotonicTime time) {
    PeerUsage known = peers.get(host);
    if (known == null) {
      return new AccountBucket(
          level, updatedAt, admitted, peers.plus(host, PeerUsage.first(incarnation, total, time)));
    }
    return new AccountBucket(
        level - known.correction(incarnation, total),
        updatedAt,
        admitted,
        peers.plus(host, known.withReport(incarnation, total, time)));
  }

  /** Returns the time until the next request may be admitted if the full rate is available. */
  Duration refillTime(AccountLimits limits, double tolerance) {
    double seconds = Math.max(0, -level - tolerance) / limits.ratePerSecond();
    return Duration.ofMillis((long) Math.ceil(seconds * 1000) + 1);
  }
}
