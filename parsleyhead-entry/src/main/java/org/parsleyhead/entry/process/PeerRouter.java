package org.parsleyhead.entry.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.parsleyhead.codec.peer.EngineMessageTypes;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.MessageType;
import org.parsleyhead.codec.peer.QuotaMessageTypes;
import org.parsleyhead.codec.peer.RepeatMessageTypes;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.engine.EngineHint;
import org.parsleyhead.core.engine.PinGrant;
import org.parsleyhead.core.engine.PinRecall;
import org.parsleyhead.core.engine.PinRefusal;
import org.parsleyhead.core.idempotency.RepeatEvent;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.scheduling.SchedulingEvent;

/**
 * Hands messages of hosts to the duty that they are for, and messages of duties to the host that
 * they are for, which may be this one.
 *
 * <p>Thread-safe. A message for which a ring has no room is dropped.
 */
final class PeerRouter {

  private static final Set<Class<?>> FOR_SCHEDULING =
      Set.of(PinGrant.class, PinRefusal.class, PinRecall.class, EngineHint.class);

  private final Sender self;
  private final Map<Class<?>, Consumer<Envelope>> duties;
  private final BiPredicate<HostName, PeerMessage> transport;

  /**
   * Creates a router.
   *
   * @param self this host
   * @param rings the rings of its duties
   * @param transport sends to other hosts
   */
  PeerRouter(Sender self, Rings rings, BiPredicate<HostName, PeerMessage> transport) {
    this.self = Preconditions.requireNonNull(self, "self");
    this.duties = duties(Preconditions.requireNonNull(rings, "rings"));
    this.transport = Preconditions.requireNonNull(transport, "transport");
  }

  /** Sends a message to a host. */
  void send(HostName receiver, PeerMessage message) {
    if (receiver.equals(self.host())) {
      receive(new Envelope(self, message));
    } else {
      transport.test(receiver, message);
    }
  }

  /** Takes a message of a host. */
  void receive(Envelope envelope) {
    Consumer<Envelope> duty = duties.get(envelope.message().getClass());
    if (duty != null) {
      duty.accept(envelope);
    }
  }

  private static Map<Class<?>, Consumer<Envelope>> duties(Rings rings) {
    Map<Class<?>, Consumer<Envelope>> duties = new HashMap<>();
    register(
        duties,
        QuotaMessageTypes.TYPES,
        (sender, message) -> rings.quota().offer(new QuotaEvent.MessageReceived(sender, message)));
    register(
        duties,
        RepeatMessageTypes.TYPES,
        (sender, message) ->
            rings.repeat().offer(new RepeatEvent.MessageReceived(sender.host(), message)));
    register(
        duties,
        EngineMessageTypes.TYPES,
        (sender, message) ->
            rings.ownership().offer(new EngineEvent.MessageReceived(sender, message)));
    for (Class<?> type : FOR_SCHEDULING) {
      duties.put(
          type,
          envelope ->
              rings
                  .scheduling()
                  .offer(
                      new SchedulingEvent.MessageReceived(envelope.sender(), envelope.message())));
    }
    return Map.copyOf(duties);
  }

  private static void register(
      Map<Class<?>, Consumer<Envelope>> duties,
      List<MessageType<?>> types,
      BiConsumer<Sender, PeerMessage> duty) {
    for (MessageType<?> type : types) {
      duties.put(type.type(), envelope -> duty.accept(envelope.sender(), envelope.message()));
    }
  }
}
