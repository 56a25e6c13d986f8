package org.parsleyhead.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Transition of the dispatch duty: handles the requests of one host from admission to completion,
 * and tracks instances, peers and the catalogue.
 *
 * <p>Immutable and thread-safe. Events of a request that is not active, or of an attempt that is
 * not its current one, leave the state unchanged.
 */
public final class DispatchTransition
    implements Transition<DispatchState, DispatchEvent, DispatchEffect> {

  /** Prefix of the source name of totals aggregated by a hub; no endpoint starts with it. */
  static final String AGGREGATE_PREFIX = "all:";

  private final DispatchSettings settings;
  private final Admission admission;
  private final RequestDispatcher dispatcher;
  private final QuarantineHandler quarantine;
  private final AttemptEventHandler attemptEvents;
  private final PlacementHandler placement;

  /** Creates the transition. */
  public DispatchTransition(DispatchSettings settings) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.dispatcher = new RequestDispatcher(settings, new LeastExpectedTime(settings));
    this.admission = new Admission(settings, dispatcher);
    this.quarantine = new QuarantineHandler();
    this.attemptEvents = new AttemptEventHandler(dispatcher, quarantine);
    this.placement = new PlacementHandler(settings);
  }

  @Override
  public Step<DispatchState, DispatchEffect> apply(
      DispatchState state, DispatchEvent event, MonotonicTime time) {
    if (event instanceof DispatchEvent.Received received) {
      return admission.receive(state, received.request(), time);
    }
    if (event instanceof DispatchEvent.ResponseStarted started) {
      return attemptEvents.onResponseStarted(state, started, time);
    }
    if (event instanceof DispatchEvent.StreamSilent silent) {
      return attemptEvents.onStreamSilent(state, silent, time);
    }
    if (event instanceof DispatchEvent.AttemptKept kept) {
      return Step.of(attemptEvents.onAttemptKept(state, kept));
    }
    if (event instanceof DispatchEvent.AttemptEnded ended) {
      return attemptEvents.onAttemptEnded(state, ended, time);
    }
    if (event instanceof DispatchEvent.CallerDisconnected disconnected) {
      long key = disconnected.requestKey();
      return attemptEvents.onCallerDisconnected(
          state.withStartup(state.startup().without(key)), key);
    }
    if (event instanceof DispatchEvent.Wake wake) {
      Optional<ReceivedRequest> waiting = state.startup().find(wake.requestKey());
      return waiting.isPresent()
          ? admission.endWait(state, waiting.get(), time)
          : dispatcher.onWake(state, wake, time);
    }
    if (event instanceof DispatchEvent.InstancesAnnounced announced) {
      DispatchState next = instancesAnnounced(state, announced.instances(), time);
      return next.catalogue().known() && next.startup().size() > 0
          ? admission.admitWaiting(next, time)
          : Step.of(next);
    }
    if (event instanceof DispatchEvent.InstanceOwnersChanged changed) {
      return dispatcher
          .loads()
          .onOwnersChanged(
              state
                  .withInstances(state.instances().withOwned(changed.ownedInstances()))
                  .withEarliestTakeover(time.plus(changed.takeoverDelay())),
              time);
    }
    if (event instanceof DispatchEvent.EvacuationChanged changed) {
      return evacuationChanged(state, changed, time);
    }
    if (event instanceof DispatchEvent.LoadOrdered ordered) {
      return dispatcher.loads().onOrdered(state, ordered, time);
    }
    if (event instanceof DispatchEvent.LoadRefused refused) {
      return dispatcher.loads().onRefused(state, refused, time);
    }
    if (event instanceof DispatchEvent.QuarantineNews news) {
      return quarantine.newsReceived(state, news, time);
    }
    if (event instanceof DispatchEvent.RestrictionLifted lifted) {
      return quarantine.lifted(state, lifted.trait(), time);
    }
    if (event instanceof DispatchEvent.Stopping stopping) {
      return admission.stop(state, stopping.plan(), time);
    }
    if (event instanceof DispatchEvent.Tick) {
      return quarantine
          .onTick(placement.onTick(removeExpired(state, time), time), time)
          .andThen(next -> dispatcher.waiting().onTick(next, time));
    }
    if (event instanceof DispatchEvent.LiveHostsChanged changed) {
      return quarantine.onHostsChanged(
          placement.onHostsChanged(liveHostsChanged(state, changed, time), time), time);
    }
    return Step.of(applyUpdate(state, event, time));
  }

  private DispatchState applyUpdate(DispatchState state, DispatchEvent event, MonotonicTime time) {
    if (event instanceof DispatchEvent.CatalogueChanged changed) {
      return catalogueChanged(state, changed.catalogue(), time);
    }
    if (event instanceof DispatchEvent.InstanceRemoved removed) {
      return state.withInstances(
          state.instances().update(removed.identifier(), view -> view.withRemovedAt(time)));
    }
    if (event instanceof DispatchEvent.InstanceNotice notice) {
      DispatchState next = placement.onNotice(state, notice, time);
      return next.withInstances(
          next.instances()
              .update(notice.instance().identifier(), view -> view.withNotice(notice, time)));
    }
    if (event instanceof DispatchEvent.AdaptersReported reported) {
      return adaptersReported(state, reported.report(), time);
    }
    if (event instanceof DispatchEvent.PeerReported reported) {
      return peerReported(state, reported, time);
    }
    return event instanceof DispatchEvent.VersionDeclared declared
        ? versionDeclared(state, declared)
        : state;
  }

  private static DispatchState catalogueChanged(
      DispatchState state, ServiceCatalogue catalogue, MonotonicTime time) {
    if (catalogue.version() <= state.catalogue().version()) {
      return state;
    }
    PMap<String, AccountBucket> buckets = HashTreePMap.empty();
    for (AccountLimits limits : catalogue.accounts()) {
      if (limits.limited()) {
        String name = limits.name().text();
        AccountBucket known = state.buckets().get(name);
        buckets =
            buckets.plus(
                name, known == null ? AccountBucket.fresh(limits, time) : known.withLimits(limits));
      }
    }
    PMap<String, RetryBudget> budgets = HashTreePMap.empty();
    for (ServiceDefinition service : catalogue.services()) {
      RetryBudget known = state.budgets().get(service.name());
      budgets = budgets.plus(service.name(), known == null ? RetryBudget.fresh(time) : known);
    }
    return state.withCatalogue(catalogue).withBuckets(buckets).withBudgets(budgets);
  }

  private DispatchState instancesAnnounced(
      DispatchState state, List<Instance> announced, MonotonicTime time) {
    InstanceTable table = state.instances();
    DispatchState next = state;
    for (Instance instance : announced) {
      next =
          placement.onAnnounced(
              next, table.find(instance.identifier()).map(InstanceView::instance), instance, time);
      InstanceView view =
          table
              .find(instance.identifier())
              .map(known -> known.withAnnouncement(instance, time))
              .orElseGet(() -> InstanceView.fresh(instance, time));
      table = table.with(view.withAdapters(view.adapters().withoutOutdated(state.versions())));
    }
    return next.withInstances(table);
  }

  /**
   * Dispatches the requests again that wait for a server, or for a load in the failure domain: they
   * may have to be refused at once, or may be sent now.
   */
  private Step<DispatchState, DispatchEffect> evacuationChanged(
      DispatchState state, DispatchEvent.EvacuationChanged changed, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> step =
        dispatcher
            .loads()
            .onOwnersChanged(placement.onEvacuationChanged(state, changed, time), time);
    for (ActiveRequest active : placement.loadingInEvacuated(step.state())) {
      step = step.andThen(next -> dispatcher.dispatch(next, active, time));
    }
    return step;
  }

  private static DispatchState versionDeclared(
      DispatchState state, DispatchEvent.VersionDeclared declared) {
    InstanceTable table = state.instances();
    for (InstanceView view : state.instances().all()) {
      AdapterInventory current =
          view.adapters().withDeclaredVersion(declared.adapter(), declared.version());
      if (current != view.adapters()) {
        table = table.with(view.withAdapters(current));
      }
    }
    return state
        .withInstances(table)
        .withVersions(state.versions().with(declared.adapter(), declared.version()));
  }

  private static DispatchState adaptersReported(
      DispatchState state, AdapterReport report, MonotonicTime time) {
    return state.withInstances(
        state
            .instances()
            .update(
                report.instance(),
                view ->
                    view.instance().startedAtMilliseconds() == report.startedAtMilliseconds()
                        ? view.withAdapters(
                            view.adapters()
                                .withReport(report, time)
                                .withoutOutdated(state.versions()))
                        : view));
  }

  private DispatchState peerReported(
      DispatchState state, DispatchEvent.PeerReported reported, MonotonicTime time) {
    PMap<String, AccountBucket> buckets = state.buckets();
    for (AccountLimits limits : state.catalogue().accounts()) {
      String name = limits.name().text();
      Double total = reported.usage().get(name);
      if (total != null && buckets.containsKey(name)) {
        buckets =
            buckets.plus(
                name,
                buckets
                    .get(name)
                    .advance(limits, settings.rateTolerance(), time)
                    .withSource(reported.host(), reported.aggregated())
                    .withReport(
                        sourceName(reported.host(), reported.aggregated()),
                        reported.incarnation(),
                        total,
                        time));
      }
    }
    Set<String> affected = new HashSet<>(reported.loads().keySet());
    state.peers().loads().values().forEach(loads -> affected.addAll(loads.keySet()));
    PeerTable peers =
        state.peers().withReport(reported.host(), reported.aggregated(), reported.loads());
    return withPeerLoads(state.withBuckets(buckets).withPeers(peers), affected, time);
  }

  /** Returns the name of a source; totals aggregated by a hub and its own usage are separate. */
  static String sourceName(String host, boolean aggregated) {
    return aggregated ? AGGREGATE_PREFIX + host : host;
  }

  private static DispatchState liveHostsChanged(
      DispatchState state, DispatchEvent.LiveHostsChanged changed, MonotonicTime time) {
    PeerTable peers =
        state.peers().withLiveHosts(changed.knownHostCount(), Set.copyOf(changed.liveHosts()));
    Set<String> affected = new HashSet<>();
    state
        .peers()
        .loads()
        .forEach(
            (host, loads) -> {
              if (!peers.loads().containsKey(host)) {
                affected.addAll(loads.keySet());
              }
            });
    return withPeerLoads(state.withPeers(peers), affected, time);
  }

  private static DispatchState withPeerLoads(
      DispatchState state, Set<String> affected, MonotonicTime time) {
    InstanceTable table = state.instances();
    for (String instance : affected) {
      InstanceLoad sum = state.peers().loadAt(instance);
      Optional<InstanceView> known = table.find(instance);
      if (known.isPresent() && !known.get().peerLoad().equals(sum)) {
        table = table.with(known.get().withPeerLoad(sum, time));
      }
    }
    return state.withInstances(table);
  }

  private DispatchState removeExpired(DispatchState state, MonotonicTime time) {
    List<String> expiredInstances = new ArrayList<>();
    for (InstanceView view : state.instances().all()) {
      boolean expired =
          view.removedAt().isPresent()
              && time.since(view.removedAt().get()).compareTo(settings.removalGrace()) > 0;
      if (expired && view.ownLoad().isNone()) {
        expiredInstances.add(view.identifier());
      }
    }
    InstanceTable table = state.instances();
    for (String identifier : expiredInstances) {
      table = table.without(identifier);
    }
    return expiredInstances.isEmpty() ? state : state.withInstances(table);
  }
}
