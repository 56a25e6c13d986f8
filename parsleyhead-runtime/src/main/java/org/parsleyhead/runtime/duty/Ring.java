package org.parsleyhead.runtime.duty;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.parsleyhead.core.api.Preconditions;

/**
 * A bounded ring that carries events to one duty.
 *
 * <p>Thread-safe for any number of producers and one consumer. Each accepted event is taken exactly
 * once, in the order of acceptance. A full ring rejects events; each producer defines how it
 * handles a rejection. A waiting consumer is parked.
 *
 * @param <E> the type of the events
 */
public final class Ring<E> {

  private final String name;
  private final int capacity;
  private final ArrayBlockingQueue<E> queue;
  private final LongAdder rejections = new LongAdder();

  /** Creates an empty ring that holds up to a number of events. */
  public Ring(String name, int capacity) {
    this.name = Preconditions.requireName(name, "name");
    this.capacity = (int) Preconditions.requirePositive(capacity, "capacity");
    this.queue = new ArrayBlockingQueue<>(capacity);
  }

  /** Adds an event; returns false immediately if the ring is full. */
  public boolean offer(E event) {
    boolean accepted = queue.offer(event);
    if (!accepted) {
      rejections.increment();
    }
    return accepted;
  }

  /** Takes the next event; empty if none arrives before the timeout. */
  Optional<E> take(Duration timeout) throws InterruptedException {
    return Optional.ofNullable(queue.poll(timeout.toNanos(), TimeUnit.NANOSECONDS));
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns the number of pending events. */
  public int size() {
    return queue.size();
  }

  /** Returns the maximum number of pending events. */
  public int capacity() {
    return capacity;
  }

  /** Returns the number of events rejected since the ring was created. */
  public long rejections() {
    return rejections.sum();
  }
}
