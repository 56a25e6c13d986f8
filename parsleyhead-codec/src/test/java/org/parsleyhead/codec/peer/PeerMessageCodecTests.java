package org.parsleyhead.codec.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;

@Label("The peer message codec")
class PeerMessageCodecTests {

  private static final String SEED = "20260704";

  /** No bytes, and headers that declare huge arrays, maps, strings, binaries and extensions. */
  private static final List<byte[]> OVERSIZED_HEADERS =
      List.of(
          new byte[0],
          new byte[] {(byte) 0xdd, 0x7f, -1, -1, -1},
          new byte[] {(byte) 0xdd, -1, -1, -1, -1},
          new byte[] {(byte) 0xdf, 0x7f, -1, -1, -1},
          new byte[] {(byte) 0xdb, 0x7f, -1, -1, -1},
          new byte[] {(byte) 0xc6, 0x7f, -1, -1, -1},
          new byte[] {(byte) 0xc9, 0x7f, -1, -1, -1, 1});

  private final PeerMessageCodec codec =
      new PeerMessageCodec(
          List.of(
              new MessageType<>(
                  7,
                  Note.class,
                  (note, packer) -> packer.packLong(note.number()).packString(note.text()),
                  unpacker -> new Note(unpacker.unpackLong(), unpacker.unpackString())),
              new MessageType<>(
                  8,
                  Faulty.class,
                  (faulty, packer) -> packer.packNil(),
                  unpacker -> List.<Faulty>of().iterator().next())));

  @Property(seed = SEED, tries = 300)
  @Label("decodes encoded messages and senders to equal values")
  void roundTrip(@ForAll long number, @ForAll @Size(max = 100) String text) {
    Envelope envelope = envelope(new Note(number, text.replaceAll("\\p{Cs}", "?")));
    assertEquals(envelope, codec.decode(codec.encode(envelope)));
  }

  @Property(seed = SEED, tries = 2_000)
  @Label("throws only codec exceptions for corrupted messages")
  void corruptedBytes(
      @ForAll @Size(min = 1, max = 4) List<@IntRange(max = 1_000) Integer> positions,
      @ForAll byte replacement) {
    byte[] bytes = codec.encode(envelope(new Note(3, "text")));
    positions.forEach(position -> bytes[position % bytes.length] = replacement);
    decode(bytes);
  }

  @Property(seed = SEED, tries = 2_000)
  @Label("throws only codec exceptions for arbitrary bytes")
  void arbitraryBytes(@ForAll byte[] bytes) {
    decode(bytes);
  }

  @Example
  @Label("rejects truncated messages and trailing bytes")
  void truncatedMessages() {
    byte[] bytes = codec.encode(envelope(new Note(3, "text")));
    for (int length = 0; length < bytes.length; length++) {
      byte[] head = Arrays.copyOf(bytes, length);
      assertThrows(CodecException.class, () -> codec.decode(head));
    }
    assertThrows(CodecException.class, () -> codec.decode(Arrays.copyOf(bytes, bytes.length + 1)));
  }

  @Example
  @Label("rejects a string whose declared length exceeds the message")
  void rejectsOversizedLength() {
    byte[] bytes = codec.encode(envelope(new Note(3, "text")));
    byte[] oversized = Arrays.copyOf(bytes, bytes.length + 4);
    int start = bytes.length - 5;
    oversized[start] = (byte) 0xdb;
    oversized[start + 1] = 0x7f;
    Arrays.fill(oversized, start + 2, start + 5, (byte) 0xff);
    assertThrows(CodecException.class, () -> codec.decode(oversized));
  }

  @Property(seed = SEED, tries = 500)
  @Label(
      "throws only codec exceptions for arbitrary bodies of known types, including huge declared"
          + " sizes")
  void arbitraryBodiesOfKnownTypes(
      @ForAll @Size(max = 40) byte[] body, @ForAll @IntRange(max = 6) int header)
      throws IOException {
    List<MessageType<?>> types =
        Stream.of(
                MembershipMessageTypes.TYPES,
                TicketMessageTypes.TYPES,
                EngineMessageTypes.TYPES,
                QuotaMessageTypes.TYPES)
            .<MessageType<?>>flatMap(List::stream)
            .toList();
    PeerMessageCodec all = new PeerMessageCodec(types);
    for (MessageType<?> type : types) {
      byte[] bytes = withBody(type, OVERSIZED_HEADERS.get(header), body);
      try {
        all.decode(bytes);
      } catch (CodecException exception) {
        assertEquals(CodecException.MALFORMED, exception.code());
      }
    }
  }

  private static byte[] withBody(MessageType<?> type, byte[] header, byte[] body)
      throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(PeerMessageCodec.VERSION).packInt(type.code());
      packer.packString("entry-1").packLong(5);
      packer.writePayload(body);
      packer.writePayload(header);
      return packer.toByteArray();
    }
  }

  @Example
  @Label("rejects unknown versions and types")
  void unknownVersionAndType() {
    byte[] bytes = codec.encode(envelope(new Note(3, "text")));
    for (int position : List.of(0, 1)) {
      byte[] other = bytes.clone();
      other[position] = 99;
      CodecException exception = assertThrows(CodecException.class, () -> codec.decode(other));
      assertEquals(CodecException.UNSUPPORTED, exception.code());
    }
    assertThrows(CodecException.class, () -> codec.encode(envelope(new Unknown())));
  }

  @Example
  @Label("rejects messages that exceed the maximum size on encoding and decoding")
  void tooLong() {
    String text = "x".repeat(PeerMessageCodec.MAXIMUM_MESSAGE_BYTES);
    CodecException sending =
        assertThrows(CodecException.class, () -> codec.encode(envelope(new Note(1, text))));
    assertEquals(CodecException.TOO_LARGE, sending.code());
    byte[] bytes = new byte[PeerMessageCodec.MAXIMUM_MESSAGE_BYTES + 1];
    CodecException receiving = assertThrows(CodecException.class, () -> codec.decode(bytes));
    assertEquals(CodecException.TOO_LARGE, receiving.code());
  }

  @Example
  @Label("throws a codec exception if the decoder of a type fails")
  void failingDecoder() {
    byte[] bytes = codec.encode(envelope(new Faulty()));
    assertThrows(CodecException.class, () -> codec.decode(bytes));
  }

  private void decode(byte[] bytes) {
    try {
      codec.decode(bytes);
    } catch (CodecException exception) {
      assertEquals(false, exception.code().equals(CodecException.TOO_LARGE));
    }
  }

  private static Envelope envelope(PeerMessage message) {
    return new Envelope(new Sender(new HostName("entry-1"), new Incarnation(5)), message);
  }

  private record Note(long number, String text) implements PeerMessage {}

  private record Faulty() implements PeerMessage {}

  private record Unknown() implements PeerMessage {}
}
