package org.parsleyhead.codec.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * How one type of message is encoded.
 *
 * <p>Immutable and thread-safe.
 *
 * @param <M> the type of message
 * @param code the number of the type on the wire, never used for another type
 * @param type the class of the messages
 * @param encoder writes the fields in order
 * @param decoder reads the fields in the same order
 */
public record MessageType<M extends PeerMessage>(
    int code, Class<M> type, Encoder<M> encoder, Decoder<M> decoder) {

  /** Checks the parts. */
  public MessageType {
    Preconditions.requirePositive(code, "code");
    Preconditions.requireNonNull(type, "type");
    Preconditions.requireNonNull(encoder, "encoder");
    Preconditions.requireNonNull(decoder, "decoder");
  }

  void encode(PeerMessage message, MessagePacker packer) throws IOException {
    encoder.encode(type.cast(message), packer);
  }

  /**
   * Writes the fields of a message.
   *
   * @param <M> the type of message
   */
  @FunctionalInterface
  public interface Encoder<M> {

    /** Writes the fields in order. */
    void encode(M message, MessagePacker packer) throws IOException;
  }

  /**
   * Reads the fields of a message.
   *
   * @param <M> the type of message
   */
  @FunctionalInterface
  public interface Decoder<M> {

    /** Reads the fields in order. */
    M decode(MessageUnpacker unpacker) throws IOException;
  }
}
