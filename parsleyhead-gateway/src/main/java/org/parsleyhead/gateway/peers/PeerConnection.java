package org.parsleyhead.gateway.peers;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The connection to one host.
 *
 * <p>Confined to the event loop. Messages wait while it is being made; the oldest ones are dropped
 * first, since newer ones say more.
 */
final class PeerConnection {

  private final int maxPendingFrames;
  private final Deque<byte[]> pendingFrames = new ArrayDeque<>();
  private Channel channel;
  private long unacknowledgedSince;
  private boolean unacknowledged;

  PeerConnection(int mostWaiting) {
    this.maxPendingFrames = mostWaiting;
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
      if (pendingFrames.size() > maxPendingFrames) {
        pendingFrames.pollFirst();
      }
      return;
    }
    channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    startAcknowledgementTimeout(now);
  }

  void acknowledged() {
    unacknowledged = false;
  }

  boolean acknowledgementOverdue(long now, long limitNanoseconds) {
    return unacknowledged && now - unacknowledgedSince > limitNanoseconds;
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
}
