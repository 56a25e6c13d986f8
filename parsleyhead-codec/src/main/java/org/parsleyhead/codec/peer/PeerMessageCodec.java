package org.parsleyhead.codec.peer;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;

/**
 * Codec for peer messages. The encoding consists of version, type, sender and message fields.
 *
 * <p>Immutable and thread-safe. Any byte sequence is either decoded or rejected with a {@link
 * CodecException}; no other exception is thrown.
 */
public final class PeerMessageCodec {

  /** The version of the encoding that is written and accepted. */
  public static final int VERSION = 1;

  /** The maximum size of an encoded message, in bytes. */
  public static final int MAXIMUM_MESSAGE_BYTES = 1 << 20;

  private final Map<Integer, MessageType<?>> byCode;
  private final Map<Class<?>, MessageType<?>> byClass;

  /** Creates a codec for a list of types with distinct codes. */
  public PeerMessageCodec(List<MessageType<?>> types) {
    this.byCode =
        types.stream()
            .collect(Collectors.toUnmodifiableMap(MessageType::code, Function.identity()));
    this.byClass =
        types.stream()
            .collect(Collectors.toUnmodifiableMap(MessageType::type, Function.identity()));
  }

  /**
   * Encodes a message.
   *
   * @throws CodecException if the type is unknown or the message exceeds the maximum size
   */
  public byte[] encode(Envelope envelope) {
    MessageType<?> type = byClass.get(envelope.message().getClass());
    if (type == null) {
      throw new CodecException(
          CodecException.UNSUPPORTED, "no encoding for " + envelope.message().getClass());
    }
    byte[] bytes = pack(type, envelope);
    if (bytes.length > MAXIMUM_MESSAGE_BYTES) {
      throw new CodecException(
          CodecException.TOO_LARGE,
          type.type().getSimpleName() + " has " + bytes.length + " bytes");
    }
    return bytes;
  }

  /**
   * Decodes a message.
   *
   * @throws CodecException if the bytes are not a message of a known version and type, or exceed
   *     the maximum size
   */
  public Envelope decode(byte[] bytes) {
    if (bytes.length > MAXIMUM_MESSAGE_BYTES) {
      throw new CodecException(CodecException.TOO_LARGE, "message has " + bytes.length + " bytes");
    }
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return unpack(unpacker);
    } catch (CodecException exception) {
      throw exception;
    } catch (IOException | RuntimeException exception) {
      throw new CodecException(CodecException.MALFORMED, "malformed peer message", exception);
    }
  }

  private static byte[] pack(MessageType<?> type, Envelope envelope) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION);
      packer.packInt(type.code());
      packer.packString(envelope.sender().host().text());
      packer.packLong(envelope.sender().incarnation().value());
      type.encode(envelope.message(), packer);
      return packer.toByteArray();
    } catch (IOException exception) {
      throw new CodecException(CodecException.MALFORMED, "message cannot be encoded", exception);
    }
  }

  private Envelope unpack(MessageUnpacker unpacker) throws IOException {
    int version = unpacker.unpackInt();
    if (version != VERSION) {
      throw new CodecException(CodecException.UNSUPPORTED, "unknown version " + version);
    }
    int code = unpacker.unpackInt();
    MessageType<?> type = byCode.get(code);
    if (type == null) {
      throw new CodecException(CodecException.UNSUPPORTED, "unknown message type " + code);
    }
    Sender sender =
        new Sender(new HostName(unpacker.unpackString()), new Incarnation(unpacker.unpackLong()));
    PeerMessage message = type.decoder().decode(unpacker);
    if (unpacker.hasNext()) {
      throw new CodecException(CodecException.MALFORMED, "message has trailing bytes");
    }
    return new Envelope(sender, message);
  }
}
