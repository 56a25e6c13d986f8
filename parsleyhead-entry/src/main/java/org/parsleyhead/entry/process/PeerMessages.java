package org.parsleyhead.entry.process;

import java.util.List;
import java.util.stream.Stream;
import org.parsleyhead.codec.peer.EngineMessageTypes;
import org.parsleyhead.codec.peer.MembershipMessageTypes;
import org.parsleyhead.codec.peer.MessageType;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.codec.peer.QuotaMessageTypes;
import org.parsleyhead.codec.peer.RepeatMessageTypes;
import org.parsleyhead.codec.peer.TicketMessageTypes;

/**
 * The message types that entry hosts exchange.
 *
 * <p>Stateless and thread-safe.
 */
final class PeerMessages {

  private PeerMessages() {}

  /** Creates the codec of all message types. */
  static PeerMessageCodec codec() {
    return new PeerMessageCodec(
        Stream.of(
                MembershipMessageTypes.TYPES,
                TicketMessageTypes.TYPES,
                QuotaMessageTypes.TYPES,
                EngineMessageTypes.TYPES,
                RepeatMessageTypes.TYPES)
            .<MessageType<?>>flatMap(List::stream)
            .toList());
  }
}
