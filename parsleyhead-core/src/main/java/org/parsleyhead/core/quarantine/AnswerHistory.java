package org.parsleyhead.core.quarantine;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * When answers last began, by trait of the request or by run of the server.
 *
 * <p>Immutable and thread-safe. Bounded: the keys that were not used lately are forgotten by
 * discarding the older of two generations.
 *
 * @param <K> the type of the keys
 * @param young the younger generation
 * @param old the older generation
 */
record AnswerHistory<K>(PMap<K, MonotonicTime> young, PMap<K, MonotonicTime> old) {

  private static final int MAXIMUM_GENERATION_SIZE = 4_096;
  private static final Duration RESOLUTION = Duration.ofMillis(250);

  static <K> AnswerHistory<K> empty() {
    return new AnswerHistory<>(HashTreePMap.empty(), HashTreePMap.empty());
  }

  Optional<MonotonicTime> lastAnswer(K key) {
    MonotonicTime recent = young.get(key);
    return Optional.ofNullable(recent != null ? recent : old.get(key));
  }

  /** Returns this history after an answer, to the resolution, which saves updates. */
  AnswerHistory<K> with(K key, MonotonicTime time) {
    MonotonicTime known = young.get(key);
    return known != null && time.since(known).compareTo(RESOLUTION) < 0
        ? this
        : withLatest(key, time);
  }

  /** Returns this history after an answer whose exact time matters. */
  AnswerHistory<K> withLatest(K key, MonotonicTime time) {
    MonotonicTime known = young.get(key);
    if (known != null && !known.isBefore(time)) {
      return this;
    }
    return young.size() < MAXIMUM_GENERATION_SIZE
        ? new AnswerHistory<>(young.plus(key, time), old)
        : new AnswerHistory<>(HashTreePMap.singleton(key, time), young);
  }
}
