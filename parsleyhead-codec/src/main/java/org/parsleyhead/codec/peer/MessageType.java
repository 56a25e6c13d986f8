package org.parsleyhead.codec.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * The encoding of one type of peer message.
 *
 * <p>Immutable and thread-safe.
 *
 * @param <M> the type of message
 * @param code the number of the type on the wire; it is never reused for another type
 * @param type the message class
 * @param encoder writes the fields in order
 * @param decoder reads the fields in the same order
 */
public record MessageType<M extends PeerMessage>(
    int code, Class<M> type, Encoder<M> encoder, Decoder<M> decoder) {

  /** Validates the components. */
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
   * Encodes the fields of a message.
   *
   * @param <M> the type of message
   */
  @FunctionalInterface
  public interface Encoder<M> {

    /**
     * Writes the fields in order.
     *
     * @throws IOException if the packer fails
     */
    void encode(M message, MessagePacker packer) throws IOException;
  }

  /**
   * Decodes the fields of a message.
   *
   * @param <M> the type of message
   */
  @FunctionalInterface
  public interface Decoder<M> {

    /**
     * Reads the fields in order.
     *
     * @throws IOException if the unpacker fails
     */
    M decode(MessageUnpacker unpacker) throws IOException;
  }
}
