package org.parsleyhead.gateway.upstreams;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Reports a stream without events as silent, first after a timeout and then at intervals.
 *
 * <p>Confined to the event loop. Bytes that complete no event do not count, nor does the time in
 * which nothing is read.
 */
final class StreamSilenceTimer {

  /** The time without events after which a stream is reported as silent. */
  private static final Duration TIMEOUT = Duration.ofMillis(1_200);

  /** The interval at which a stream that stays silent is reported again. */
  private static final Duration INTERVAL = Duration.ofMillis(400);

  private final Runnable onSilence;
  private EventLoop eventLoop;
  private long lastEventNanoseconds;
  private boolean paused;
  private Future<?> nextCheck;

  StreamSilenceTimer(Runnable onSilence) {
    this.onSilence = onSilence;
  }

  /** Starts with the first event of the stream. */
  void start(EventLoop streamEventLoop) {
    eventLoop = streamEventLoop;
    eventReceived();
    schedule(TIMEOUT.toNanos());
  }

  /** Records a complete event. */
  void eventReceived() {
    lastEventNanoseconds = System.nanoTime();
  }

  /** Stops measuring, since nothing is read from the stream. */
  void pause() {
    paused = true;
  }

  /** Measures anew if the timer was paused. */
  void resume() {
    if (paused) {
      paused = false;
      eventReceived();
    }
  }

  /** Returns whether the stream is silent now; requires that the timer was started. */
  boolean silent() {
    return remainingNanoseconds() <= 0;
  }

  /** Stops the timer; does nothing if it was not started. */
  void stop() {
    if (nextCheck != null) {
      nextCheck.cancel(false);
    }
  }

  private void schedule(long delayNanoseconds) {
    nextCheck = eventLoop.schedule(this::check, delayNanoseconds, TimeUnit.NANOSECONDS);
  }

  private void check() {
    long remaining = remainingNanoseconds();
    if (remaining > 0) {
      schedule(remaining);
      return;
    }
    schedule(INTERVAL.toNanos());
    onSilence.run();
  }

  private long remainingNanoseconds() {
    return paused
        ? TIMEOUT.toNanos()
        : lastEventNanoseconds + TIMEOUT.toNanos() - System.nanoTime();
  }
}
