package org.parsleyhead.codec.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.engine.EngineHint;
import org.parsleyhead.core.engine.PermitGrant;
import org.parsleyhead.core.engine.PermitRequest;
import org.parsleyhead.core.engine.PermitReturn;
import org.parsleyhead.core.engine.PinDemand;
import org.parsleyhead.core.engine.PinGrant;
import org.parsleyhead.core.engine.PinRecall;
import org.parsleyhead.core.engine.PinRefusal;
import org.parsleyhead.core.engine.PinRelease;
import org.parsleyhead.core.engine.PinRequest;
import org.parsleyhead.core.ticket.Priority;

@DisplayName("The engine message types")
class EngineMessageTypesTests {

  private static final PeerMessageCodec CODEC = new PeerMessageCodec(EngineMessageTypes.TYPES);
  private static final Sender SENDER = new Sender(new HostName("host-1"), new Incarnation(7));
  private static final UpstreamName ENGINE = new UpstreamName("engine-1");
  private static final AdapterReference ADAPTER = AdapterReference.parse("adapter@3");
  private static final Incarnation REQUESTER = new Incarnation(Long.MAX_VALUE);

  static Stream<PeerMessage> messages() {
    PinDemand demand = new PinDemand(ADAPTER, 4, 2, Priority.BATCH, 3);
    Stream<PeerMessage> refusals =
        Arrays.stream(PinRefusal.Reason.values())
            .map(
                reason ->
                    new PinRefusal(ENGINE, REQUESTER, 9, ADAPTER, reason, Duration.ofMillis(5)));
    return Stream.concat(
        refusals,
        Stream.of(
            new PinRequest(ENGINE, 9, List.of(demand)),
            new PinGrant(ENGINE, REQUESTER, 9, List.of(ADAPTER), Duration.ofSeconds(30)),
            new PinRelease(ENGINE, 9, List.of(ADAPTER), 2, true),
            new PinRecall(ENGINE, ADAPTER),
            new PermitRequest(9, 8, 3),
            new PermitGrant(REQUESTER, 9, Duration.ofSeconds(2)),
            new PermitReturn(9, true),
            new EngineHint(ENGINE, 4, 1, Set.of(ADAPTER), Duration.ofMillis(30))));
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
    SplittableRandom random = new SplittableRandom(11);
    for (PeerMessage message : messages().toList()) {
      byte[] bytes = CODEC.encode(new Envelope(SENDER, message));
      for (int round = 0; round < 200; round++) {
        byte[] corrupted = bytes.clone();
        corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
        try {
          CODEC.decode(corrupted);
        } catch (CodecException expected) {
          assertEquals(false, expected.code().isEmpty());
        }
      }
    }
  }
}
