package org.parsleyhead.core.scheduling;

import java.util.Optional;
import java.util.OptionalLong;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * What this host knows of one adapter on one engine.
 *
 * <p>Immutable and thread-safe. A grant is taken up only if its number is that of the last pin
 * request; the pin counts from when that request was sent.
 *
 * @param pinnedUntil until when requests may start there; empty without a pin
 * @param asked the number of the last pin request
 * @param askedAt when that was sent
 * @param pending whether its answer is awaited
 * @param firstAskedAt when the first of the unanswered pin requests was sent
 * @param notBefore when the owner may be asked again
 * @param ready the place of the first request that may start there, if it stands in the ready set
 * @param outstanding how many requests run there
 * @param startsSinceAsked how many requests were started since the last pin request
 * @param lastUse when a request was last started or ended there
 */
record Placement(
    Optional<MonotonicTime> pinnedUntil,
    OptionalLong asked,
    MonotonicTime askedAt,
    boolean pending,
    MonotonicTime firstAskedAt,
    MonotonicTime notBefore,
    Optional<QueueKey> ready,
    int outstanding,
    int startsSinceAsked,
    MonotonicTime lastUse) {

  static Placement none(MonotonicTime time) {
    return new Placement(
        Optional.empty(),
        OptionalLong.empty(),
        time,
        false,
        time,
        time,
        Optional.empty(),
        0,
        0,
        time);
  }

  boolean isPinned(MonotonicTime time) {
    return pinnedUntil.isPresent() && time.isBefore(pinnedUntil.get());
  }

  Placement askedFor(long number, MonotonicTime time) {
    return new Placement(
        pinnedUntil,
        OptionalLong.of(number),
        time,
        true,
        pending ? firstAskedAt : time,
        notBefore,
        ready,
        outstanding,
        0,
        lastUse);
  }

  Placement granted(MonotonicTime until, MonotonicTime time) {
    return new Placement(
        Optional.of(until),
        asked,
        askedAt,
        false,
        firstAskedAt,
        notBefore,
        ready,
        outstanding,
        startsSinceAsked,
        time);
  }

  Placement refused(MonotonicTime retryAt) {
    return new Placement(
        pinnedUntil,
        asked,
        askedAt,
        false,
        firstAskedAt,
        retryAt,
        ready,
        outstanding,
        startsSinceAsked,
        lastUse);
  }

  Placement unpinned(MonotonicTime retryAt) {
    return new Placement(
        Optional.empty(),
        OptionalLong.empty(),
        askedAt,
        false,
        firstAskedAt,
        retryAt,
        ready,
        outstanding,
        startsSinceAsked,
        lastUse);
  }

  Placement withReady(Optional<QueueKey> next) {
    return new Placement(
        pinnedUntil,
        asked,
        askedAt,
        pending,
        firstAskedAt,
        notBefore,
        next,
        outstanding,
        startsSinceAsked,
        lastUse);
  }

  Placement started(MonotonicTime time) {
    return new Placement(
        pinnedUntil,
        asked,
        askedAt,
        pending,
        firstAskedAt,
        notBefore,
        ready,
        outstanding + 1,
        startsSinceAsked + 1,
        time);
  }

  Placement ended(MonotonicTime time) {
    return new Placement(
        pinnedUntil,
        asked,
        askedAt,
        pending,
        firstAskedAt,
        notBefore,
        ready,
        Math.max(0, outstanding - 1),
        startsSinceAsked,
        time);
  }
}
