package org.parsleyhead.codec.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.membership.Attestation;
import org.parsleyhead.core.membership.AttestationRequest;
import org.parsleyhead.core.membership.DepartureNotice;
import org.parsleyhead.core.membership.Liveness;
import org.parsleyhead.core.membership.LivenessUpdate;
import org.parsleyhead.core.membership.Probe;
import org.parsleyhead.core.membership.ProbeAnswer;
import org.parsleyhead.core.membership.ProbeRelay;

@DisplayName("The membership message types")
class MembershipMessageTypesTests {

  private static final PeerMessageCodec CODEC = new PeerMessageCodec(MembershipMessageTypes.TYPES);
  private static final Sender SENDER =
      new Sender(new HostName("host-1"), new Incarnation(Long.MAX_VALUE));
  private static final List<LivenessUpdate> UPDATES =
      List.of(
          new LivenessUpdate(new HostName("host-2"), 3, Liveness.SUSPECTED),
          new LivenessUpdate(new HostName("host-3"), 0, Liveness.FAILED));

  static Stream<PeerMessage> messages() {
    return Stream.of(
        new AttestationRequest(Long.MIN_VALUE, 4),
        new Attestation(-1, new Incarnation(8), 4, Duration.ofSeconds(10)),
        new Probe(7, UPDATES),
        new ProbeAnswer(7, List.of()),
        new ProbeRelay(7, new HostName("host-2")),
        new DepartureNotice());
  }

  @ParameterizedTest
  @MethodSource("messages")
  @DisplayName("decode encoded messages to equal messages")
  void roundTrip(PeerMessage message) {
    Envelope envelope = new Envelope(SENDER, message);
    assertEquals(envelope, CODEC.decode(CODEC.encode(envelope)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  @DisplayName("reject truncated messages")
  void rejectsTruncatedMessages(PeerMessage message) {
    byte[] bytes = CODEC.encode(new Envelope(SENDER, message));
    for (int length = 0; length < bytes.length; length++) {
      byte[] truncated = Arrays.copyOf(bytes, length);
      assertThrows(CodecException.class, () -> CODEC.decode(truncated));
    }
  }

  @Test
  @DisplayName("throw only codec exceptions for corrupted messages")
  void rejectsCorruptedMessages() {
    Random random = new Random(11);
    for (int round = 0; round < 20_000; round++) {
      byte[] bytes = CODEC.encode(new Envelope(SENDER, new Probe(round, UPDATES)));
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      try {
        CODEC.decode(bytes);
      } catch (CodecException expected) {
        assertEquals(false, expected.code().isBlank());
      }
    }
  }
}
