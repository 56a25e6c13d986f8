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

@Label("The MessagePack form of peer messages")
class PeerMessageCodecTests {

  private static final String SEED = "20260704";

  /** Nothing, and the headers of the longest lists, maps, strings and binaries. */
  private static final List<byte[]> CLAIMS =
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
  @Label("gives messages and senders back unchanged")
  void roundTrip(@ForAll long number, @ForAll @Size(max = 100) String text) {
    Envelope envelope = envelope(new Note(number, text.replaceAll("\\p{Cs}", "?")));
    assertEquals(envelope, codec.decode(codec.encode(envelope)));
  }

  @Property(seed = SEED, tries = 2_000)
  @Label("is refused with a codec error, if at all, when its bytes are damaged")
  void damagedBytes(
      @ForAll @Size(min = 1, max = 4) List<@IntRange(max = 1_000) Integer> places,
      @ForAll byte replacement) {
    byte[] bytes = codec.encode(envelope(new Note(3, "text")));
    places.forEach(place -> bytes[place % bytes.length] = replacement);
    decode(bytes);
  }

  @Property(seed = SEED, tries = 2_000)
  @Label("is refused with a codec error when it is no message at all")
  void anyBytes(@ForAll byte[] bytes) {
    decode(bytes);
  }

  @Example
  @Label("is refused wherever it is cut off, and when bytes follow it")
  void cutOff() {
    byte[] bytes = codec.encode(envelope(new Note(3, "text")));
    for (int length = 0; length < bytes.length; length++) {
      byte[] head = Arrays.copyOf(bytes, length);
      assertThrows(CodecException.class, () -> codec.decode(head));
    }
    assertThrows(CodecException.class, () -> codec.decode(Arrays.copyOf(bytes, bytes.length + 1)));
  }

  @Example
  @Label("is refused when it claims a length that it does not have")
  void claimedLength() {
    byte[] bytes = codec.encode(envelope(new Note(3, "text")));
    byte[] claimed = Arrays.copyOf(bytes, bytes.length + 4);
    int start = bytes.length - 5;
    claimed[start] = (byte) 0xdb;
    claimed[start + 1] = 0x7f;
    Arrays.fill(claimed, start + 2, start + 5, (byte) 0xff);
    assertThrows(CodecException.class, () -> codec.decode(claimed));
  }

  @Property(seed = SEED, tries = 500)
  @Label("is refused with a codec error for any body of a known type, huge claimed sizes included")
  void anyBodyOfKnownTypes(
      @ForAll @Size(max = 40) byte[] body, @ForAll @IntRange(max = 6) int claim)
      throws IOException {
    List<MessageType<?>> types =
        Stream.of(
                MembershipMessages.TYPES,
                TicketMessages.TYPES,
                EngineMessageTypes.TYPES,
                QuotaMessageTypes.ALL)
            .<MessageType<?>>flatMap(List::stream)
            .toList();
    PeerMessageCodec all = new PeerMessageCodec(types);
    for (MessageType<?> type : types) {
      byte[] bytes = withBody(type, CLAIMS.get(claim), body);
      try {
        all.decode(bytes);
      } catch (CodecException exception) {
        assertEquals(CodecException.MALFORMED, exception.code());
      }
    }
  }

  private static byte[] withBody(MessageType<?> type, byte[] claim, byte[] body)
      throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(PeerMessageCodec.VERSION).packInt(type.code());
      packer.packString("entry-1").packLong(5);
      packer.writePayload(body);
      packer.writePayload(claim);
      return packer.toByteArray();
    }
  }

  @Example
  @Label("is refused when its version or type is unknown")
  void unknownVersionAndType() {
    byte[] bytes = codec.encode(envelope(new Note(3, "text")));
    for (int place : List.of(0, 1)) {
      byte[] other = bytes.clone();
      other[place] = 99;
      CodecException exception = assertThrows(CodecException.class, () -> codec.decode(other));
      assertEquals(CodecException.UNSUPPORTED, exception.code());
    }
    assertThrows(CodecException.class, () -> codec.encode(envelope(new Unknown())));
  }

  @Example
  @Label("is refused when it is too long to send or to receive")
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
  @Label("is refused with a codec error when the decoder of its type fails")
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
