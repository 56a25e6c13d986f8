package org.parsleyhead.core.publication;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The requests of a host that started after the store was restored for what remains in force of
 * former eras on other hosts.
 *
 * <p>Immutable and thread-safe. Bounded, since no host has an answer if all of them started after
 * the rollback.
 *
 * @param left how many requests may still be sent; 0 once an answer has come
 * @param lastAt when the last one was sent; empty if there was none
 */
record FormerInquiry(int left, Optional<MonotonicTime> lastAt) {

  static final FormerInquiry NONE = new FormerInquiry(0, Optional.empty());

  /** Covers lost messages and hosts that started late themselves. */
  static final FormerInquiry START = new FormerInquiry(3, Optional.empty());

  boolean due(Duration interval, MonotonicTime time) {
    return left > 0 && lastAt.map(last -> time.since(last).compareTo(interval) >= 0).orElse(true);
  }

  FormerInquiry sent(MonotonicTime time) {
    return new FormerInquiry(left - 1, Optional.of(time));
  }
}
