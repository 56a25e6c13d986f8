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
 * Decides which catalogue is in force on one host, what to read from the configuration service and
 * which messages to send to other hosts.
 *
 * <p>Stateless apart from its settings and thread-safe. Invariants: tickets are merged atomically,
 * and no item reverts to a lower ticket number, whatever the source.
 */
public final class ConfigurationTransition
    implements Transition<ConfigurationState, ConfigurationEvent, ConfigurationEffect> {

  private static final ChangeSource SERVICE = new ChangeSource.Service();

  private final ServiceReadScheduler reads;
  private final CatalogueMerger merger;
  private final CatalogueAntiEntropy antiEntropy;
  private final Readiness readiness;

  /** Creates the transition of one host. */
  public ConfigurationTransition(ConfigurationSettings settings) {
    this.reads = new ServiceReadScheduler(settings);
    this.merger = new CatalogueMerger(settings);
    this.antiEntropy = new CatalogueAntiEntropy(settings, merger);
    this.readiness = new Readiness(settings);
  }

  @Override
  public Step<ConfigurationState, ConfigurationEffect> apply(
      ConfigurationState state, ConfigurationEvent event, MonotonicTime time) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    ConfigurationState changed = applyEvent(state, event, time, effects);
    changed = reads.startReads(changed, time, effects);
    if (!changed.ready() && readiness.isReady(changed, time)) {
      changed = changed.asReady();
      effects.add(new ConfigurationEffect.BecameReady(changed.mergedThrough()));
    }
    return new Step<>(changed, effects);
  }

  private ConfigurationState applyEvent(
      ConfigurationState state,
      ConfigurationEvent event,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    if (event instanceof ConfigurationEvent.Tick tick) {
      return antiEntropy.startComparisons(state.withSeed(tick.randomNumber()), time, effects);
    }
    if (event instanceof ConfigurationEvent.MessageReceived received) {
      HostName from = received.sender().host();
      return applyMessage(state, from, received.message(), time, effects);
    }
    if (event instanceof ConfigurationEvent.HostsChanged hosts) {
      return hostsChanged(state, hosts, time, effects);
    }
    return applyServiceAnswer(state, event, time, effects);
  }

  private ConfigurationState applyMessage(
      ConfigurationState state,
      HostName from,
      PeerMessage message,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    if (message instanceof TicketFragment fragment) {
      return merger.addFragment(state, fragment, new ChangeSource.Peer(from), time, effects);
    }
    if (message instanceof ConfigurationSummary summary) {
      return antiEntropy.handleSummary(state, from, summary, time, effects);
    }
    if (message instanceof DigestComparison comparison) {
      return antiEntropy.handleDigests(state, from, comparison, time, effects);
    }
    if (message instanceof ItemTransfer transfer) {
      return antiEntropy.handleTransfer(state, from, transfer, effects);
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
    if (peers.hostList().leavingUpstreams().equals(state.peers().hostList().leavingUpstreams())) {
      return changed;
    }
    Catalogue updated = state.catalogue().withLeaving(peers.hostList().leavingUpstreams());
    effects.add(
        new ConfigurationEffect.CatalogueChanged(
            updated, state.mergedThrough(), SERVICE, List.of()));
    return changed.withCatalogue(updated);
  }

  private ConfigurationState applyServiceAnswer(
      ConfigurationState state,
      ConfigurationEvent event,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    if (event instanceof ConfigurationEvent.ReadFailed failed) {
      return state.withService(
          reads.withFailure(state.service(), failed.read(), false, state.seed(), time));
    }
    ServiceState service = state.service().withContact(time);
    ConfigurationState contacted = state.withService(service);
    if (event instanceof ConfigurationEvent.ReadAbsent absent) {
      return contacted.withService(
          reads.withFailure(service, absent.read(), true, state.seed(), time));
    }
    if (event instanceof ConfigurationEvent.LatestRead latest) {
      return contacted.withService(
          withCompletedWatches(service).withLatest(latest.revision(), latest.number().value()));
    }
    if (event instanceof ConfigurationEvent.LatestUnchanged) {
      return contacted.withService(withCompletedWatches(service));
    }
    if (event instanceof ConfigurationEvent.TicketSplit split) {
      ServiceRead read = new ServiceRead.TicketHead(split.number());
      return contacted.withService(
          service
              .withCompleted(read)
              .withPartCounts(service.partCounts().plus(split.number().value(), split.parts())));
    }
    if (event instanceof ConfigurationEvent.FragmentRead read) {
      return fragmentRead(contacted, read.fragment(), time, effects);
    }
    if (event instanceof ConfigurationEvent.SnapshotHeadRead head) {
      return contacted.withService(
          reads.withSnapshotHead(service, contacted.applied(), head, time));
    }
    return snapshotPart(contacted, (ConfigurationEvent.SnapshotPartRead) event, effects);
  }

  /** Marks all outstanding watches as completed. */
  private static ServiceState withCompletedWatches(ServiceState service) {
    ServiceState remaining = service;
    for (ServiceRead read : service.outstanding().keySet()) {
      remaining =
          read instanceof ServiceRead.WatchLatest ? remaining.withCompleted(read) : remaining;
    }
    return remaining;
  }

  private ConfigurationState fragmentRead(
      ConfigurationState state,
      TicketFragment fragment,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    TicketNumber number = fragment.number();
    ServiceRead head = new ServiceRead.TicketHead(number);
    ServiceRead part = new ServiceRead.TicketPart(number, fragment.part(), fragment.parts());
    ServiceState completed = state.service().withCompleted(head).withCompleted(part);
    ConfigurationState merged =
        merger.addFragment(state.withService(completed), fragment, SERVICE, time, effects);
    boolean rejected =
        !merged.applied().contains(number.value())
            && merged.staging().tickets().get(number.value()) == null;
    if (rejected) {
      return merged.withService(reads.withFailure(completed, head, false, state.seed(), time));
    }
    return merged.applied().contains(number.value())
        ? merged.withService(completed.withPartCounts(completed.partCounts().minus(number.value())))
        : merged;
  }

  private ConfigurationState snapshotPart(
      ConfigurationState state,
      ConfigurationEvent.SnapshotPartRead read,
      List<ConfigurationEffect> effects) {
    ServiceState completed =
        state.service().withCompleted(new ServiceRead.SnapshotPart(read.number(), read.part()));
    ServiceState.SnapshotProgress snapshot = completed.snapshot();
    if (snapshot.status() != SnapshotStatus.READING || snapshot.number() != read.number().value()) {
      return state.withService(completed);
    }
    ServiceState.SnapshotProgress extended = snapshot.plus(read.part(), read.items());
    if (!extended.isComplete()) {
      return state.withService(completed.withSnapshot(extended));
    }
    List<CatalogueEntry> items = extended.read().values().stream().flatMap(List::stream).toList();
    ServiceState finished = completed.withSnapshot(extended.withStatus(SnapshotStatus.DONE));
    return merger.mergeItems(
        state.withService(finished), items, read.number().value(), SERVICE, effects);
  }
}
