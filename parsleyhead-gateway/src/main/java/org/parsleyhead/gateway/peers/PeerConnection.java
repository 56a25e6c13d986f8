package org.parsleyhead.gateway.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A connection to another host, which carries frames in both directions.
 *
 * <p>Confined to the event loop. Any received frame acknowledges the frames that were written
 * before; a host that has nothing to send acknowledges with an empty frame. Frames are queued while
 * the connection is being established; if too many are queued, the oldest is dropped, since newer
 * frames carry newer state.
 */
final class PeerConnection {

  private final boolean accepted;
  private final int maximumPendingFrames;
  private final Deque<byte[]> pendingFrames = new ArrayDeque<>();
  private Channel channel;
  private long unacknowledgedSince;
  private boolean unacknowledged;
  private boolean acknowledgementOwed;
  private long owedSince;

  private PeerConnection(boolean accepted, int maximumPendingFrames) {
    this.accepted = accepted;
    this.maximumPendingFrames = maximumPendingFrames;
  }

  /** Returns a connection that this host is about to open. */
  static PeerConnection opening(int maximumPendingFrames) {
    return new PeerConnection(false, maximumPendingFrames);
  }

  /** Returns a connection that the other host has opened. */
  static PeerConnection accepted(int maximumPendingFrames) {
    return new PeerConnection(true, maximumPendingFrames);
  }

  /** Returns whether this host opened the connection and it is established. */
  boolean openedHere() {
    return !accepted && channel != null;
  }

  void connected(Channel connected, long now) {
    channel = connected;
    for (byte[] frame : pendingFrames) {
      channel.write(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    }
    if (!pendingFrames.isEmpty()) {
      startAcknowledgementTimeout(now);
    }
    pendingFrames.clear();
    channel.flush();
  }

  void write(byte[] frame, long now) {
    if (channel == null) {
      pendingFrames.addLast(frame);
      if (pendingFrames.size() > maximumPendingFrames) {
        pendingFrames.pollFirst();
      }
      return;
    }
    channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    acknowledgementOwed = false;
    startAcknowledgementTimeout(now);
  }

  /**
   * Records a received frame.
   *
   * @param message whether it carries a message, which has to be acknowledged
   */
  void received(boolean message, long now) {
    unacknowledged = false;
    if (message && !acknowledgementOwed) {
      acknowledgementOwed = true;
      owedSince = now;
    }
  }

  /**
   * Acknowledges received frames with an empty frame if no frame has been written since for longer
   * than a delay.
   */
  void acknowledge(long now, long delayNanoseconds) {
    if (acknowledgementOwed && channel != null && now - owedSince > delayNanoseconds) {
      acknowledgementOwed = false;
      channel.writeAndFlush(emptyFrame(), channel.voidPromise());
    }
  }

  boolean acknowledgementOverdue(long now, long timeoutNanoseconds) {
    return unacknowledged && now - unacknowledgedSince > timeoutNanoseconds;
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }

  private void startAcknowledgementTimeout(long now) {
    if (!unacknowledged) {
      unacknowledged = true;
      unacknowledgedSince = now;
    }
  }

  private static ByteBuf emptyFrame() {
    return Unpooled.EMPTY_BUFFER;
  }
}
