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
 * Routes received messages to the duty that handles their type, and messages of the duties to the
 * receiving host, which may be this one.
 *
 * <p>A message is dropped if the ring of its duty is full or no duty handles its type.
 *
 * <p>Thread-safe.
 */
final class PeerRouter {

  private static final Set<Class<?>> SCHEDULING_MESSAGE_CLASSES =
      Set.of(PinGrant.class, PinRefusal.class, PinRecall.class, EngineHint.class);

  private final Sender self;
  private final Map<Class<?>, Consumer<Envelope>> handlers;
  private final BiPredicate<HostName, PeerMessage> transport;

  /**
   * Creates a router.
   *
   * @param self this host
   * @param rings the rings of the duties
   * @param transport sends a message to another host
   */
  PeerRouter(Sender self, Rings rings, BiPredicate<HostName, PeerMessage> transport) {
    this.self = Preconditions.requireNonNull(self, "self");
    this.handlers = handlers(Preconditions.requireNonNull(rings, "rings"));
    this.transport = Preconditions.requireNonNull(transport, "transport");
  }

  /** Sends a message to a host; a message to this host is routed to its duty directly. */
  void send(HostName receiver, PeerMessage message) {
    if (receiver.equals(self.host())) {
      receive(new Envelope(self, message));
    } else {
      transport.test(receiver, message);
    }
  }

  /** Passes a received message to the duty that handles its type. */
  void receive(Envelope envelope) {
    Consumer<Envelope> handler = handlers.get(envelope.message().getClass());
    if (handler != null) {
      handler.accept(envelope);
    }
  }

  private static Map<Class<?>, Consumer<Envelope>> handlers(Rings rings) {
    Map<Class<?>, Consumer<Envelope>> handlers = new HashMap<>();
    register(
        handlers,
        QuotaMessageTypes.TYPES,
        (sender, message) -> rings.quota().offer(new QuotaEvent.MessageReceived(sender, message)));
    register(
        handlers,
        RepeatMessageTypes.TYPES,
        (sender, message) ->
            rings.repeat().offer(new RepeatEvent.MessageReceived(sender.host(), message)));
    register(
        handlers,
        EngineMessageTypes.TYPES,
        (sender, message) ->
            rings.ownership().offer(new EngineEvent.MessageReceived(sender, message)));
    for (Class<?> type : SCHEDULING_MESSAGE_CLASSES) {
      handlers.put(
          type,
          envelope ->
              rings
                  .scheduling()
                  .offer(
                      new SchedulingEvent.MessageReceived(envelope.sender(), envelope.message())));
    }
    return Map.copyOf(handlers);
  }

  private static void register(
      Map<Class<?>, Consumer<Envelope>> handlers,
      List<MessageType<?>> types,
      BiConsumer<Sender, PeerMessage> handler) {
    for (MessageType<?> type : types) {
      handlers.put(type.type(), envelope -> handler.accept(envelope.sender(), envelope.message()));
    }
  }
}
