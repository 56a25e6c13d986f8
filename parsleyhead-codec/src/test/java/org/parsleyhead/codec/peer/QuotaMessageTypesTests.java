package org.parsleyhead.codec.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleyhead.codec.CodecException;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.quota.AllocationView;
import org.parsleyhead.core.quota.LoanGrant;
import org.parsleyhead.core.quota.LoanIdentifier;
import org.parsleyhead.core.quota.LoanRequest;
import org.parsleyhead.core.quota.LoanReturn;
import org.parsleyhead.core.quota.QuotaNotice;
import org.parsleyhead.core.quota.ShareAllocation;

@DisplayName("The quota message types")
class QuotaMessageTypesTests {

  private static final ClientAccountName ACCOUNT = new ClientAccountName("kestrel");
  private static final LoanIdentifier LOAN = new LoanIdentifier(new Incarnation(7), 8);
  private static final ShareAllocation FIRST =
      new ShareAllocation(3, new TreeSet<>(List.of(new HostName("a"), new HostName("b"))));
  private static final ShareAllocation SECOND =
      new ShareAllocation(4, new TreeSet<>(List.of(new HostName("a"), new HostName("c"))));

  private final PeerMessageCodec codec = new PeerMessageCodec(QuotaMessageTypes.TYPES);

  static Stream<PeerMessage> messages() {
    return Stream.of(
        new QuotaNotice(0, Optional.empty(), 0, false, AllocationView.EMPTY),
        new QuotaNotice(
            1,
            Optional.of(new QuotaNotice.NoticeIdentifier(new Incarnation(5), 6)),
            4,
            true,
            new AllocationView(Optional.of(FIRST), List.of(SECOND))),
        new QuotaNotice(
            2, Optional.empty(), 3, false, new AllocationView(Optional.empty(), List.of(FIRST))),
        new LoanRequest(1, ACCOUNT, 2, 3, 4, Optional.empty()),
        new LoanRequest(1, ACCOUNT, 2, 3, 4, Optional.of(LOAN)),
        new LoanGrant(1, new Incarnation(2), ACCOUNT, LOAN, 3, 4, Duration.ofMillis(1500)),
        new LoanReturn(ACCOUNT, LOAN, 5));
  }

  @ParameterizedTest
  @MethodSource("messages")
  @DisplayName("decode encoded messages to equal messages")
  void roundTrip(PeerMessage message) {
    Envelope envelope = new Envelope(new Sender(new HostName("a"), new Incarnation(1)), message);
    assertEquals(envelope, codec.decode(codec.encode(envelope)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  @DisplayName("reject truncated messages")
  void rejectsTruncatedMessages(PeerMessage message) {
    Envelope envelope = new Envelope(new Sender(new HostName("a"), new Incarnation(1)), message);
    byte[] bytes = codec.encode(envelope);
    for (int length = 0; length < bytes.length; length++) {
      byte[] truncated = Arrays.copyOf(bytes, length);
      assertThrows(CodecException.class, () -> codec.decode(truncated));
    }
  }

  @Test
  @DisplayName("encode the notice of a cell of eight hosts in fewer than 200 bytes")
  void noticeIsSmall() {
    TreeSet<HostName> members = new TreeSet<>();
    for (int index = 0; index < 8; index++) {
      members.add(new HostName("entry-host-" + index));
    }
    QuotaNotice notice =
        new QuotaNotice(
            100_000,
            Optional.of(new QuotaNotice.NoticeIdentifier(new Incarnation(Long.MAX_VALUE), 100_000)),
            100_000,
            true,
            new AllocationView(Optional.of(new ShareAllocation(100_000, members)), List.of()));
    Sender sender = new Sender(new HostName("entry-host-1"), new Incarnation(Long.MAX_VALUE));
    int length = codec.encode(new Envelope(sender, notice)).length;
    assertEquals(true, length < 200, () -> "length " + length);
  }
}
