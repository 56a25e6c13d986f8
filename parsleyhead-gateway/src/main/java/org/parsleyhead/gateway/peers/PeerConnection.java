package org.parsleyhead.gateway.peers;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The connection to another host.
 *
 * <p>Confined to the event loop. Frames are queued while the connection is being established; if
 * too many are queued, the oldest is dropped, since newer frames carry newer state.
 */
final class PeerConnection {

  private final int maximumPendingFrames;
  private final Deque<byte[]> pendingFrames = new ArrayDeque<>();
  private Channel channel;
  private long unacknowledgedSince;
  private boolean unacknowledged;

  PeerConnection(int maximumPendingFrames) {
    this.maximumPendingFrames = maximumPendingFrames;
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
    startAcknowledgementTimeout(now);
  }

  void acknowledged() {
    unacknowledged = false;
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
}
