package org.parsleyhead.core.scheduling;

import java.util.Optional;
import java.util.OptionalLong;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The pin, the pin request and the running requests of this host for one adapter on one engine.
 *
 * <p>Immutable and thread-safe. A grant is accepted only if its number is that of the last pin
 * request; the duration of the pin is measured from when that request was sent.
 *
 * @param pinnedUntil when the pin expires; empty without a pin
 * @param requestNumber the number of the last pin request; empty if none was sent since the last
 *     release
 * @param requestedAt when the last pin request was sent
 * @param pending whether the last pin request is unanswered
 * @param firstRequestedAt when the first of the consecutive unanswered pin requests was sent
 * @param retryAt the earliest time of the next pin request
 * @param ready the queue key of this adapter in the ready set of the engine, if it has an entry
 * @param outstanding the number of running requests of this host on the engine with this adapter
 * @param startsSinceRequest the number of requests started since the last pin request
 * @param lastUsedAt when the pin was last granted or a request last started or ended
 */
record Placement(
    Optional<MonotonicTime> pinnedUntil,
    OptionalLong requestNumber,
    MonotonicTime requestedAt,
    boolean pending,
    MonotonicTime firstRequestedAt,
    MonotonicTime retryAt,
    Optional<QueueKey> ready,
    int outstanding,
    int startsSinceRequest,
    MonotonicTime lastUsedAt) {

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

  Placement requested(long number, MonotonicTime time) {
    return new Placement(
        pinnedUntil,
        OptionalLong.of(number),
        time,
        true,
        pending ? firstRequestedAt : time,
        retryAt,
        ready,
        outstanding,
        0,
        lastUsedAt);
  }

  Placement granted(MonotonicTime until, MonotonicTime time) {
    return new Placement(
        Optional.of(until),
        requestNumber,
        requestedAt,
        false,
        firstRequestedAt,
        retryAt,
        ready,
        outstanding,
        startsSinceRequest,
        time);
  }

  Placement refused(MonotonicTime retryAt) {
    return new Placement(
        pinnedUntil,
        requestNumber,
        requestedAt,
        false,
        firstRequestedAt,
        retryAt,
        ready,
        outstanding,
        startsSinceRequest,
        lastUsedAt);
  }

  Placement unpinned(MonotonicTime retryAt) {
    return new Placement(
        Optional.empty(),
        OptionalLong.empty(),
        requestedAt,
        false,
        firstRequestedAt,
        retryAt,
        ready,
        outstanding,
        startsSinceRequest,
        lastUsedAt);
  }

  Placement withReady(Optional<QueueKey> next) {
    return new Placement(
        pinnedUntil,
        requestNumber,
        requestedAt,
        pending,
        firstRequestedAt,
        retryAt,
        next,
        outstanding,
        startsSinceRequest,
        lastUsedAt);
  }

  Placement started(MonotonicTime time) {
    return new Placement(
        pinnedUntil,
        requestNumber,
        requestedAt,
        pending,
        firstRequestedAt,
        retryAt,
        ready,
        outstanding + 1,
        startsSinceRequest + 1,
        time);
  }

  Placement ended(MonotonicTime time) {
    return new Placement(
        pinnedUntil,
        requestNumber,
        requestedAt,
        pending,
        firstRequestedAt,
        retryAt,
        ready,
        Math.max(0, outstanding - 1),
        startsSinceRequest,
        time);
  }
}
