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
 * <p>Thread-safe for any number of producers and one consumer. An event that was accepted is taken
 * exactly once, in the order of acceptance. A full ring refuses: producers state what a refusal
 * means for them. Waiting consumers are parked.
 *
 * @param <E> the type of the events
 */
public final class Ring<E> {

  private final String name;
  private final int capacity;
  private final ArrayBlockingQueue<E> queue;
  private final LongAdder refusals = new LongAdder();

  /** Creates an empty ring for a number of events. */
  public Ring(String name, int capacity) {
    this.name = Preconditions.requireName(name, "name");
    this.capacity = (int) Preconditions.requirePositive(capacity, "capacity");
    this.queue = new ArrayBlockingQueue<>(capacity);
  }

  /** Accepts an event, or returns false at once if the ring is full. */
  public boolean offer(E event) {
    boolean accepted = queue.offer(event);
    if (!accepted) {
      refusals.increment();
    }
    return accepted;
  }

  /** Takes the next event; empty if none came within the time. */
  Optional<E> take(Duration timeout) throws InterruptedException {
    return Optional.ofNullable(queue.poll(timeout.toNanos(), TimeUnit.NANOSECONDS));
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns the number of waiting events. */
  public int size() {
    return queue.size();
  }

  /** Returns the greatest number of waiting events. */
  public int capacity() {
    return capacity;
  }

  /** Returns how many events were refused since the start. */
  public long refusals() {
    return refusals.sum();
  }
}
