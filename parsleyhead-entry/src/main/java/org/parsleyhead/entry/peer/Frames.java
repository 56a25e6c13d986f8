package org.parsleyhead.entry.peer;

import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.parsleyhead.codec.peer.PeerMessageCodec;

/**
 * The frames on a connection between hosts: a length of four bytes and the message.
 *
 * <p>Stateless and thread-safe. A frame without a message is a ping; the other host answers with
 * the same.
 */
final class Frames {

  /** The length of the header, in bytes. */
  static final int HEADER_BYTES = 4;

  private Frames() {}

  static ChannelHandler decoder() {
    return new LengthFieldBasedFrameDecoder(
        PeerMessageCodec.MAXIMUM_MESSAGE_BYTES + HEADER_BYTES, 0, HEADER_BYTES, 0, HEADER_BYTES);
  }
}
