package org.parsleyhead.gateway.process;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.runtime.duty.Ring;

/**
 * Offers events to a duty that must not be lost.
 *
 * <p>Thread-safe. The ring accepts the events of one sender in the order in which they were sent:
 * those of each thread in its order, and those of two threads in the order in which their calls
 * took the lock, which is held for a few steps and never while something is awaited. While the ring
 * is full, events wait and are offered again after a delay. At the dispatch duty, the events of
 * requests that are already active take the room before new requests do, which are refused while
 * any event waits; so the events that wait are bounded by those that the active requests and the
 * platform can still cause.
 *
 * @param <E> the type of the events
 */
final class EventSender<E> {

  /** The delay after which events that did not fit into the ring are offered again. */
  private static final long FULL_RING_RETRY_MILLISECONDS = 20;

  private final Ring<E> ring;
  private final EventLoop eventLoop;
  private final Queue<E> waiting = new ArrayDeque<>();

  EventSender(Ring<E> ring, EventLoop eventLoop) {
    this.ring = ring;
    this.eventLoop = eventLoop;
  }

  /** Offers an event once; returns false if the ring is full or other events wait for it. */
  synchronized boolean offer(E event) {
    return waiting.isEmpty() && ring.offer(event);
  }

  /** Offers an event, after those that wait, until the ring accepts it. */
  synchronized void send(E event) {
    if (!offer(event)) {
      waiting.add(event);
      if (waiting.size() == 1) {
        scheduleRetry();
      }
    }
  }

  private synchronized void offerWaiting() {
    while (!waiting.isEmpty() && ring.offer(waiting.peek())) {
      waiting.remove();
    }
    if (!waiting.isEmpty()) {
      scheduleRetry();
    }
  }

  private void scheduleRetry() {
    eventLoop.schedule(this::offerWaiting, FULL_RING_RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
  }
}
