package org.parsleyhead.gateway.upstreams;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.parsleyhead.gateway.callers.Exchange;

/**
 * The events of the streamed response of one attempt.
 *
 * <p>Confined to the event loop. Only complete events reach the caller. Once it has started, the
 * caller has received its first event, and its silence is reported.
 */
final class EventStream {

  private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

  private final ServerSentEventSplitter events = new ServerSentEventSplitter();
  private final StreamSilenceTimer silenceTimer;
  private boolean started;

  EventStream(Runnable onSilence) {
    this.silenceTimer = new StreamSilenceTimer(onSilence);
  }

  /** Returns whether an event was forwarded. */
  boolean started() {
    return started;
  }

  /** Returns whether no event has come for some time; requires that the stream has started. */
  boolean silent() {
    return silenceTimer.silent();
  }

  /** Returns the bytes of the event that is not complete yet. */
  int pendingBytes() {
    return events.pendingBytes();
  }

  /** Returns whether the event that is not complete yet is larger than an event may be. */
  boolean eventTooLarge() {
    return events.pendingBytes() > MAXIMUM_EVENT_BYTES;
  }

  /** Receives bytes and returns the events that are complete. */
  byte[] receive(byte[] bytes) {
    return events.split(bytes);
  }

  /**
   * Forwards complete events to the caller, and reads on once the caller has room.
   *
   * @param reportsSilence whether silence after the first event is reported
   */
  void forward(byte[] complete, Exchange exchange, Channel upstream, boolean reportsSilence) {
    silenceTimer.eventReceived();
    if (!started && reportsSilence) {
      silenceTimer.start(upstream.eventLoop());
    }
    started = true;
    exchange.writeEvents(Unpooled.wrappedBuffer(complete), events.lastIdentifier());
    if (!exchange.checkWritable(() -> readOn(upstream))) {
      upstream.config().setAutoRead(false);
      silenceTimer.pause();
    }
  }

  private void readOn(Channel upstream) {
    silenceTimer.resume();
    upstream.config().setAutoRead(true);
  }

  /** Stops reporting silence. */
  void stop() {
    silenceTimer.stop();
  }
}
