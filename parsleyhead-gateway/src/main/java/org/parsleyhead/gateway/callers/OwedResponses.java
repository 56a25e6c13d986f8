package org.parsleyhead.gateway.callers;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The responses that one connection owes to its caller, until their last byte was written to the
 * socket.
 *
 * <p>Confined to the event loop, except for the total over all connections.
 */
final class OwedResponses {

  private final Channel channel;
  private final AtomicInteger total;
  private ChannelFuture last;
  private int count;
  private long unwrittenBytes;

  /**
   * Creates the responses of a connection without requests.
   *
   * @param total the number of responses that all connections owe
   */
  OwedResponses(Channel channel, AtomicInteger total) {
    this.channel = channel;
    this.total = total;
    this.last = channel.newSucceededFuture();
  }

  /** A complete request was received, or one was rejected that is owed a response nevertheless. */
  void add() {
    count++;
    total.incrementAndGet();
  }

  /** A request gets no response of its own any more. */
  void remove() {
    if (count > 0) {
      count--;
      total.decrementAndGet();
    }
  }

  /** The caller is gone. */
  void removeAll() {
    while (count > 0) {
      remove();
    }
  }

  /** A response was passed to the socket completely. */
  void ended(ChannelFuture written) {
    last = written;
    unwrittenBytes = Long.MAX_VALUE;
    written.addListener(done -> remove());
  }

  /** Returns whether all responses that have ended are written. */
  boolean written() {
    return last.isDone();
  }

  /** Runs an action once all responses that have ended are written. */
  void whenWritten(Runnable action) {
    last.addListener(done -> action.run());
  }

  /** Returns whether the caller has read on since the previous call, while bytes are unwritten. */
  boolean progressing() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    if (written() || buffer == null) {
      return false;
    }
    long before = unwrittenBytes;
    unwrittenBytes = buffer.totalPendingWriteBytes() - buffer.currentProgress();
    return unwrittenBytes < before;
  }
}
