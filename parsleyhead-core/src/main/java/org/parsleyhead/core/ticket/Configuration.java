package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.ticket.ServiceState.SnapshotStatus;

/**
 * The configuration decisions of one host: what to read of the service, what to tell other hosts,
 * and which catalogue is in force.
 *
 * <p>Stateless apart from its settings and thread-safe. A ticket comes into force whole; no item
 * ever goes back to a lower ticket number, whoever tells it.
 */
public final class Configuration
    implements Transition<ConfigurationState, ConfigurationEvent, ConfigurationEffect> {

  private static final ChangeSource SERVICE = new ChangeSource.Service();

  private final ServiceReading reading;
  private final Merging merging;
  private final PeerExchange exchange;
  private final Readiness readiness;

  /** Creates the decisions for one process. */
  public Configuration(ConfigurationSettings settings) {
    this.reading = new ServiceReading(settings);
    this.merging = new Merging(settings);
    this.exchange = new PeerExchange(settings, merging);
    this.readiness = new Readiness(settings);
  }

  @Override
  public Step<ConfigurationState, ConfigurationEffect> apply(
      ConfigurationState state, ConfigurationEvent event, MonotonicTime time) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    ConfigurationState changed = take(state, event, time, effects);
    changed = reading.startReads(changed, time, effects);
    if (!changed.ready() && readiness.isReady(changed, time)) {
      changed = changed.asReady();
      effects.add(new ConfigurationEffect.BecameReady(changed.mergedThrough()));
    }
    return new Step<>(changed, effects);
  }

  private ConfigurationState take(
      ConfigurationState state,
      ConfigurationEvent event,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    if (event instanceof ConfigurationEvent.Tick tick) {
      return exchange.compare(state.withSeed(tick.randomNumber()), time, effects);
    }
    if (event instanceof ConfigurationEvent.MessageReceived received) {
      HostName from = received.sender().host();
      return receive(state, from, received.message(), time, effects);
    }
    if (event instanceof ConfigurationEvent.HostsChanged hosts) {
      return hostsChanged(state, hosts, time, effects);
    }
    return takeServiceAnswer(state, event, time, effects);
  }

  private ConfigurationState receive(
      ConfigurationState state,
      HostName from,
      PeerMessage message,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    if (message instanceof TicketFragment fragment) {
      return merging.fragment(state, fragment, new ChangeSource.Peer(from), time, effects);
    }
    if (message instanceof ConfigurationSummary summary) {
      return exchange.summary(state, from, summary, time, effects);
    }
    if (message instanceof DigestComparison comparison) {
      return exchange.digests(state, from, comparison, time, effects);
    }
    if (message instanceof ItemTransfer transfer) {
      return exchange.transfer(state, from, transfer, effects);
    }
    return state;
  }

  private ConfigurationState hostsChanged(
      ConfigurationState state,
      ConfigurationEvent.HostsChanged hosts,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    PeerState peers = state.peers().withHosts(hosts.list(), hosts.alive(), time);
    ConfigurationState changed = state.withPeers(peers);
    if (peers.list().leavingUpstreams().equals(state.peers().list().leavingUpstreams())) {
      return changed;
    }
    Catalogue folded = state.catalogue().withLeaving(peers.list().leavingUpstreams());
    effects.add(
        new ConfigurationEffect.CatalogueChanged(
            folded, state.mergedThrough(), SERVICE, List.of()));
    return changed.withCatalogue(folded);
  }

  private ConfigurationState takeServiceAnswer(
      ConfigurationState state,
      ConfigurationEvent event,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    if (event instanceof ConfigurationEvent.ReadFailed failed) {
      return state.withService(
          reading.failed(state.service(), failed.read(), false, state.seed(), time));
    }
    ServiceState service = state.service().withContact(time);
    ConfigurationState heard = state.withService(service);
    if (event instanceof ConfigurationEvent.ReadAbsent absent) {
      return heard.withService(reading.failed(service, absent.read(), true, state.seed(), time));
    }
    if (event instanceof ConfigurationEvent.LatestRead latest) {
      return heard.withService(
          withoutWatch(service).withLatest(latest.revision(), latest.number().value()));
    }
    if (event instanceof ConfigurationEvent.LatestUnchanged) {
      return heard.withService(withoutWatch(service));
    }
    if (event instanceof ConfigurationEvent.TicketSplit split) {
      ServiceRead read = new ServiceRead.TicketHead(split.number());
      return heard.withService(
          service
              .ended(read)
              .withSplits(service.splits().plus(split.number().value(), split.parts())));
    }
    if (event instanceof ConfigurationEvent.FragmentRead read) {
      return fragmentRead(heard, read.fragment(), time, effects);
    }
    if (event instanceof ConfigurationEvent.SnapshotHeadRead head) {
      return heard.withService(reading.snapshotHead(service, heard.applied(), head, time));
    }
    return snapshotPart(heard, (ConfigurationEvent.SnapshotPartRead) event, effects);
  }

  private static ServiceState withoutWatch(ServiceState service) {
    ServiceState ended = service;
    for (ServiceRead read : service.outstanding().keySet()) {
      ended = read instanceof ServiceRead.WatchLatest ? ended.ended(read) : ended;
    }
    return ended;
  }

  private ConfigurationState fragmentRead(
      ConfigurationState state,
      TicketFragment fragment,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    TicketNumber number = fragment.number();
    ServiceRead head = new ServiceRead.TicketHead(number);
    ServiceRead part = new ServiceRead.TicketPart(number, fragment.part(), fragment.parts());
    ServiceState ended = state.service().ended(head).ended(part);
    ConfigurationState merged =
        merging.fragment(state.withService(ended), fragment, SERVICE, time, effects);
    boolean refused =
        !merged.applied().contains(number.value())
            && merged.staging().tickets().get(number.value()) == null;
    if (refused) {
      return merged.withService(reading.failed(ended, head, false, state.seed(), time));
    }
    return merged.applied().contains(number.value())
        ? merged.withService(ended.withSplits(ended.splits().minus(number.value())))
        : merged;
  }

  private ConfigurationState snapshotPart(
      ConfigurationState state,
      ConfigurationEvent.SnapshotPartRead read,
      List<ConfigurationEffect> effects) {
    ServiceState ended =
        state.service().ended(new ServiceRead.SnapshotPart(read.number(), read.part()));
    ServiceState.SnapshotReading snapshot = ended.snapshot();
    if (snapshot.status() != SnapshotStatus.READING || snapshot.number() != read.number().value()) {
      return state.withService(ended);
    }
    ServiceState.SnapshotReading grown = snapshot.plus(read.part(), read.items());
    if (!grown.isComplete()) {
      return state.withService(ended.withSnapshot(grown));
    }
    List<HeardItem> items = grown.read().values().stream().flatMap(List::stream).toList();
    ServiceState done = ended.withSnapshot(grown.withStatus(SnapshotStatus.DONE));
    return merging.items(state.withService(done), items, read.number().value(), SERVICE, effects);
  }
}
