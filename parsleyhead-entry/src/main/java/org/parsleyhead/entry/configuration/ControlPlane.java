package org.parsleyhead.entry.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.parsleyhead.codec.peer.Envelope;
import org.parsleyhead.codec.peer.MembershipMessageTypes;
import org.parsleyhead.codec.peer.MessageType;
import org.parsleyhead.codec.peer.PeerMessageCodec;
import org.parsleyhead.codec.peer.TicketMessageTypes;
import org.parsleyhead.core.membership.HostList;
import org.parsleyhead.core.membership.MembershipEffect;
import org.parsleyhead.core.membership.MembershipEvent;
import org.parsleyhead.core.membership.MembershipState;
import org.parsleyhead.core.membership.MembershipTransition;
import org.parsleyhead.core.ticket.ConfigurationEffect;
import org.parsleyhead.core.ticket.ConfigurationEvent;
import org.parsleyhead.core.ticket.ConfigurationState;
import org.parsleyhead.core.ticket.ConfigurationTransition;
import org.parsleyhead.entry.peer.PeerTransport;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * The control plane of one host: membership, configuration, the transport between hosts and the
 * readers of the published configuration and host list.
 *
 * <p>Membership, configuration, the transport and the host list reader have a duty thread each.
 *
 * <p>When a ring is full, a message of another host is dropped, which the protocols tolerate; a
 * host list is offered again at the next tick; a response of the configuration service counts as
 * lost and is requested again.
 *
 * <p>Thread-safe.
 */
public final class ControlPlane implements AutoCloseable {

  private static final EventLog LOG = new EventLog("control_plane");
  private static final int RING_CAPACITY = 4_096;
  private static final Duration MEMBERSHIP_TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration CONFIGURATION_TICK_INTERVAL = Duration.ofMillis(200);
  private static final Set<Class<?>> MEMBERSHIP_MESSAGE_CLASSES =
      classes(MembershipMessageTypes.TYPES);
  private static final Set<Class<?>> CONFIGURATION_MESSAGE_CLASSES =
      classes(TicketMessageTypes.TYPES);

  private final ControlPlaneListener listener;
  private final Ring<MembershipEvent> membershipRing = new Ring<>("membership", RING_CAPACITY);
  private final Ring<ConfigurationEvent> configurationRing =
      new Ring<>("configuration", RING_CAPACITY);
  private final Duty<MembershipState, MembershipEvent, MembershipEffect> membership;
  private final Duty<ConfigurationState, ConfigurationEvent, ConfigurationEffect> configuration;
  private final ServiceClient client;
  private final ServiceClient hostListClient;
  private final ConfigurationReader reader;
  private final HostListReader hostListReader;
  private final PeerTransport transport;
  private volatile HostList hostList = HostList.EMPTY;

  private ControlPlane(
      ControlPlaneSettings settings,
      PeerMessageCodec codec,
      ControlPlaneListener listener,
      MonotonicClock clock,
      LongSupplier randomNumbers) {
    this.listener = listener;
    this.transport =
        PeerTransport.start(
            settings.transport(), codec, () -> hostList, this::receive, clock, randomNumbers);
    this.client = ServiceClient.create(settings.service());
    this.hostListClient = ServiceClient.create(settings.hostListService());
    this.reader = new ConfigurationReader(client, configurationRing::offer);
    this.hostListReader =
        new HostListReader(hostListClient, this::receiveHostList, clock, randomNumbers);
    this.membership =
        new Duty<>(
            membershipRing,
            MembershipState.initial(settings.membership(), clock.now()),
            new MembershipTransition(settings.membership()),
            this::executeMembershipEffect,
            () -> membershipTick(randomNumbers),
            MEMBERSHIP_TICK_INTERVAL,
            clock,
            failure -> LOG.failure("membership_event_failed", failure));
    this.configuration =
        new Duty<>(
            configurationRing,
            ConfigurationState.initial(clock.now()),
            new ConfigurationTransition(settings.configuration()),
            this::executeConfigurationEffect,
            () -> new ConfigurationEvent.Tick(randomNumbers.getAsLong()),
            CONFIGURATION_TICK_INTERVAL,
            clock,
            failure -> LOG.failure("configuration_event_failed", failure));
  }

  /**
   * Starts all duties.
   *
   * @param settings the settings of all parts
   * @param codec the codec of all messages between hosts
   * @param listener is notified of changes and of messages for other parts of the process
   * @param clock the clock of all duties
   * @param randomNumbers supplies unpredictable numbers; thread-safe
   */
  public static ControlPlane start(
      ControlPlaneSettings settings,
      PeerMessageCodec codec,
      ControlPlaneListener listener,
      MonotonicClock clock,
      LongSupplier randomNumbers) {
    ControlPlane plane = new ControlPlane(settings, codec, listener, clock, randomNumbers);
    plane.membership.start();
    plane.configuration.start();
    plane.hostListReader.start();
    return plane;
  }

  /** Returns the transport, for messages of other parts of the process. */
  public PeerTransport transport() {
    return transport;
  }

  /** Returns this host's view of the membership. */
  public MembershipState membership() {
    return membership.state();
  }

  /** Returns this host's view of the configuration. */
  public ConfigurationState configuration() {
    return configuration.state();
  }

  /** Releases all exclusive rights permanently; the listener is notified on completion. */
  public void requestStop() {
    if (!membershipRing.offer(new MembershipEvent.StopRequested())) {
      LOG.warning("stop_request_refused");
    }
  }

  /** Stops all duties and closes all connections. */
  @Override
  public void close() {
    hostListReader.close();
    membership.close();
    configuration.close();
    transport.close();
    client.close();
    hostListClient.close();
  }

  private void receiveHostList(HostList list) {
    hostList = list;
    membershipRing.offer(new MembershipEvent.HostListRead(list));
    listener.hostList().accept(list);
  }

  private MembershipEvent membershipTick(LongSupplier randomNumbers) {
    HostList latest = hostList;
    if (latest.version() > membership.state().hostList().version()) {
      membershipRing.offer(new MembershipEvent.HostListRead(latest));
    }
    return new MembershipEvent.Tick(randomNumbers.getAsLong());
  }

  private void receive(Envelope envelope) {
    Class<?> type = envelope.message().getClass();
    if (MEMBERSHIP_MESSAGE_CLASSES.contains(type)) {
      membershipRing.offer(
          new MembershipEvent.MessageReceived(envelope.sender(), envelope.message()));
    } else if (CONFIGURATION_MESSAGE_CLASSES.contains(type)) {
      configurationRing.offer(
          new ConfigurationEvent.MessageReceived(envelope.sender(), envelope.message()));
    } else {
      listener.messages().accept(envelope);
    }
  }

  private void executeMembershipEffect(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.Send send) {
      transport.send(send.host(), send.message());
    } else if (effect instanceof MembershipEffect.RightsChanged changed) {
      listener
          .rights()
          .changed(
              changed.rightsSnapshot(),
              () -> membershipRing.offer(new MembershipEvent.RightsApplied(changed.sequence())));
      reportHosts();
    } else if (effect instanceof MembershipEffect.LivenessChanged changed) {
      LOG.info("host_liveness", "host", changed.host(), "liveness", changed.liveness());
      reportHosts();
    } else if (effect instanceof MembershipEffect.RightsReleased) {
      listener.released().run();
    }
  }

  private void reportHosts() {
    MembershipState state = membership.state();
    configurationRing.offer(
        new ConfigurationEvent.HostsChanged(state.hostList(), state.aliveHosts()));
  }

  private void executeConfigurationEffect(ConfigurationEffect effect) {
    if (effect instanceof ConfigurationEffect.Send send) {
      transport.send(send.host(), send.message());
    } else if (effect instanceof ConfigurationEffect.Read read) {
      reader.read(read.read());
    } else if (effect instanceof ConfigurationEffect.CatalogueChanged changed) {
      listener.catalogue().accept(changed);
    } else if (effect instanceof ConfigurationEffect.BecameReady ready) {
      LOG.info("configuration_ready", "ticket", ready.mergedThrough());
      listener.ready().run();
    } else if (effect instanceof ConfigurationEffect.TicketRefused refused) {
      LOG.warning("ticket_refused", "ticket", refused.number(), "reason", refused.reason());
    }
  }

  private static Set<Class<?>> classes(List<MessageType<?>> types) {
    return types.stream().map(MessageType::type).collect(Collectors.toUnmodifiableSet());
  }
}
