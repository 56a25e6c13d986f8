package org.parsleyhead.gateway.process;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.runtime.duty.Ring;

/**
 * Offers events to the dispatch duty that must not be lost.
 *
 * <p>Thread-safe. While the ring is full, an event is offered again after a delay, and the events
 * of requests that are already active take the room before new requests do, which are refused.
 */
final class DispatchEventSender {

  /** The delay after which an event that did not fit into the ring is offered again. */
  private static final long FULL_RING_RETRY_MILLISECONDS = 20;

  private final Ring<DispatchEvent> ring;
  private final EventLoop eventLoop;

  DispatchEventSender(Ring<DispatchEvent> ring, EventLoop eventLoop) {
    this.ring = ring;
    this.eventLoop = eventLoop;
  }

  /** Offers an event once; returns false if the ring is full. */
  boolean offer(DispatchEvent event) {
    return ring.offer(event);
  }

  /** Offers an event until the ring accepts it. */
  void send(DispatchEvent event) {
    if (!ring.offer(event)) {
      eventLoop.schedule(() -> send(event), FULL_RING_RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
  }
}
