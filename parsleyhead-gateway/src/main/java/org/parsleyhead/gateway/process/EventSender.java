package org.parsleyhead.gateway.process;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.runtime.duty.Ring;

/**
 * Offers events to a duty that must not be lost.
 *
 * <p>Thread-safe. While the ring is full, an event is offered again after a delay. At the dispatch
 * duty, the events of requests that are already active take the room before new requests do, which
 * are refused.
 *
 * @param <E> the type of the events
 */
final class EventSender<E> {

  /** The delay after which an event that did not fit into the ring is offered again. */
  private static final long FULL_RING_RETRY_MILLISECONDS = 20;

  private final Ring<E> ring;
  private final EventLoop eventLoop;

  EventSender(Ring<E> ring, EventLoop eventLoop) {
    this.ring = ring;
    this.eventLoop = eventLoop;
  }

  /** Offers an event once; returns false if the ring is full. */
  boolean offer(E event) {
    return ring.offer(event);
  }

  /** Offers an event until the ring accepts it. */
  void send(E event) {
    if (!ring.offer(event)) {
      eventLoop.schedule(() -> send(event), FULL_RING_RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
  }
}
