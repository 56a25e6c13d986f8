package org.parsleyhead.entry.peer;

import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.parsleyhead.codec.peer.PeerMessageCodec;

/**
 * The framing of connections between hosts: a length field of four bytes, then the message.
 *
 * <p>An empty frame is a ping or, in the opposite direction, its pong.
 *
 * <p>Stateless and thread-safe.
 */
final class Frames {

  /** The size of the length field, in bytes. */
  static final int HEADER_BYTES = 4;

  private Frames() {}

  static ChannelHandler decoder() {
    return new LengthFieldBasedFrameDecoder(
        PeerMessageCodec.MAXIMUM_MESSAGE_BYTES + HEADER_BYTES, 0, HEADER_BYTES, 0, HEADER_BYTES);
  }
}
