package org.parsleyhead.gateway.upstreams;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.parsleyhead.gateway.callers.Exchange;

/**
 * The events of the streamed response of one attempt.
 *
 * <p>Confined to the event loop. Only complete events reach the caller. Once it has started, the
 * caller has received its first event, and its silence is reported. While its caller has no room,
 * or there is no memory for its events, nothing is read from its server, and its silence does not
 * count.
 */
final class EventStream {

  private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

  private final ServerSentEventSplitter events = new ServerSentEventSplitter();
  private final StreamSilenceTimer silenceTimer;
  private final Runnable onCallerReads;
  private final AttemptLog log;
  private Channel upstream;
  private boolean started;
  private boolean stopped;
  private boolean waitsForCaller;
  private boolean waitsForMemory;

  /**
   * Creates a stream that has not started.
   *
   * @param onSilence runs while the stream is silent
   * @param onCallerReads runs whenever the caller has room again
   * @param log the log of the attempt
   */
  EventStream(Runnable onSilence, Runnable onCallerReads, AttemptLog log) {
    this.silenceTimer = new StreamSilenceTimer(onSilence);
    this.onCallerReads = onCallerReads;
    this.log = log;
  }

  /** Sets the connection of the attempt. */
  void connected(Channel channel) {
    upstream = channel;
  }

  /** Returns whether an event was forwarded. */
  boolean started() {
    return started;
  }

  /** Returns whether no event has come for some time; requires that the stream has started. */
  boolean silent() {
    return silenceTimer.silent();
  }

  /** Returns whether the server is read and has sent no event yet. */
  boolean awaitsFirstEvent() {
    return !started && !waitsForMemory;
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
  void forward(byte[] complete, Exchange exchange, boolean reportsSilence) {
    silenceTimer.eventReceived();
    if (!started && reportsSilence) {
      silenceTimer.start(upstream.eventLoop());
    }
    started = true;
    exchange.writeEvents(Unpooled.wrappedBuffer(complete), events.lastIdentifier());
    waitsForCaller = !exchange.checkWritable(() -> callerReads());
    readOrPause();
  }

  /** Returns whether nothing is read since the caller has no room. */
  boolean waitsForCaller() {
    return waitsForCaller;
  }

  /** Reads no further until there is memory. */
  void pauseForMemory() {
    waitsForMemory = true;
    readOrPause();
    log.pausedForMemory();
  }

  /** Reads on, since there is memory, unless the caller has no room. */
  void resumeForMemory() {
    waitsForMemory = false;
    readOrPause();
  }

  private void callerReads() {
    waitsForCaller = false;
    readOrPause();
    onCallerReads.run();
  }

  /** Does nothing once the stream has stopped, since its connection may carry another request. */
  private void readOrPause() {
    if (stopped) {
      return;
    }
    boolean reads = !waitsForCaller && !waitsForMemory;
    if (reads) {
      silenceTimer.resume();
    } else {
      silenceTimer.pause();
    }
    upstream.config().setAutoRead(reads);
  }

  /** Stops reporting silence, and leaves its connection alone. */
  void stop() {
    stopped = true;
    silenceTimer.stop();
  }
}
