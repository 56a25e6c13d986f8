package org.parsleyhead.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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
 * Decides on the requests of one host.
 *
 * <p>Immutable and thread-safe.
 */
public final class DispatchTransition
    implements Transition<DispatchState, DispatchEvent, DispatchEffect> {

  /** Distinguishes the sums that a hub tells; no endpoint begins so. */
  static final String SUMS_PREFIX = "all:";

  private final DispatchSettings settings;
  private final Admission admission;
  private final Sending sending;
  private final Endings endings;

  /** Creates the decisions with their numbers. */
  public DispatchTransition(DispatchSettings settings) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.sending = new Sending(settings, new LeastExpectedTime(settings));
    this.admission = new Admission(settings, sending);
    this.endings = new Endings(sending);
  }

  @Override
  public Step<DispatchState, DispatchEffect> apply(
      DispatchState state, DispatchEvent event, MonotonicTime time) {
    if (event instanceof DispatchEvent.Received received) {
      return admission.receive(state, received.request(), time);
    }
    if (event instanceof DispatchEvent.AnswerBegun begun) {
      return Step.of(endings.answerBegun(state, begun, time));
    }
    if (event instanceof DispatchEvent.AttemptEnded ended) {
      return endings.attemptEnded(state, ended, time);
    }
    if (event instanceof DispatchEvent.CallerLeft left) {
      return endings.callerLeft(state, left.requestKey());
    }
    if (event instanceof DispatchEvent.Wake wake) {
      return sending.wake(state, wake, time);
    }
    if (event instanceof DispatchEvent.LoadOrdered ordered) {
      return sending.loadOrdered(state, ordered, time);
    }
    if (event instanceof DispatchEvent.LoadRefused refused) {
      return sending.loadRefused(state, refused, time);
    }
    return Step.of(learn(state, event, time));
  }

  private DispatchState learn(DispatchState state, DispatchEvent event, MonotonicTime time) {
    if (event instanceof DispatchEvent.CatalogueChanged changed) {
      return catalogueChanged(state, changed.catalogue(), time);
    }
    if (event instanceof DispatchEvent.InstancesAnnounced announced) {
      return instancesAnnounced(state, announced.instances(), time);
    }
    if (event instanceof DispatchEvent.InstanceRemoved removed) {
      return state.withInstances(
          state.instances().change(removed.identifier(), view -> view.withRemovedAt(time)));
    }
    if (event instanceof DispatchEvent.AdaptersReported reported) {
      return adaptersReported(state, reported.report(), time);
    }
    if (event instanceof DispatchEvent.PeerReported reported) {
      return peerReported(state, reported, time);
    }
    if (event instanceof DispatchEvent.PeersCounted counted) {
      return peersCounted(state, counted);
    }
    if (event instanceof DispatchEvent.VersionDeclared declared) {
      return versionDeclared(state, declared);
    }
    if (event instanceof DispatchEvent.OwnersKnown known) {
      return state
          .withInstances(state.instances().withOwned(known.instances()))
          .withOwnersAt(time.plus(known.othersIn()));
    }
    return event instanceof DispatchEvent.Stopping stopping
        ? state.withStopping(stopping.stage())
        : tick(state, time);
  }

  private static DispatchState catalogueChanged(
      DispatchState state, ServiceCatalogue catalogue, MonotonicTime time) {
    if (catalogue.version() <= state.catalogue().version()) {
      return state;
    }
    PMap<String, Allowance> allowances = HashTreePMap.empty();
    for (AccountLimits limits : catalogue.accounts()) {
      if (limits.limited()) {
        String name = limits.name().text();
        Allowance known = state.allowances().get(name);
        allowances =
            allowances.plus(
                name, known == null ? Allowance.fresh(limits, time) : known.under(limits));
      }
    }
    PMap<String, RetryBudget> budgets = HashTreePMap.empty();
    for (ServiceDefinition service : catalogue.services()) {
      RetryBudget known = state.budgets().get(service.name());
      budgets = budgets.plus(service.name(), known == null ? RetryBudget.fresh(time) : known);
    }
    return state.withCatalogue(catalogue).withAllowances(allowances).withBudgets(budgets);
  }

  private static DispatchState instancesAnnounced(
      DispatchState state, List<Instance> announced, MonotonicTime time) {
    InstanceTable table = state.instances();
    for (Instance instance : announced) {
      InstanceView view =
          table
              .find(instance.identifier())
              .map(known -> known.announce(instance, time))
              .orElseGet(() -> InstanceView.fresh(instance, time));
      table = table.with(view.withAdapters(view.adapters().current(state.versions())));
    }
    return state.withInstances(table);
  }

  private static DispatchState versionDeclared(
      DispatchState state, DispatchEvent.VersionDeclared declared) {
    InstanceTable table = state.instances();
    for (InstanceView view : state.instances().all()) {
      HeldAdapters current = view.adapters().declared(declared.adapter(), declared.version());
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
            .change(
                report.instance(),
                view ->
                    view.instance().startedAtMillis() == report.startedAtMillis()
                        ? view.withAdapters(
                            view.adapters().report(report, time).current(state.versions()))
                        : view));
  }

  private DispatchState peerReported(
      DispatchState state, DispatchEvent.PeerReported reported, MonotonicTime time) {
    PMap<String, Allowance> allowances = state.allowances();
    for (AccountLimits limits : state.catalogue().accounts()) {
      String name = limits.name().text();
      Double total = reported.usage().get(name);
      if (total != null && allowances.containsKey(name)) {
        allowances =
            allowances.plus(
                name,
                allowances
                    .get(name)
                    .advance(limits, settings.allowanceTolerance(), time)
                    .sourcedBy(reported.host(), reported.sums())
                    .report(
                        source(reported.host(), reported.sums()),
                        reported.incarnation(),
                        total,
                        time));
      }
    }
    Set<String> touched = new HashSet<>(reported.loads().keySet());
    state.peers().loads().values().forEach(loads -> touched.addAll(loads.keySet()));
    PeerTable peers = state.peers().with(reported.host(), reported.sums(), reported.loads());
    return withPeerLoads(state.withAllowances(allowances).withPeers(peers), touched);
  }

  /** Returns the name under which a source is kept; the sums of a hub are apart from its own. */
  static String source(String host, boolean sums) {
    return sums ? SUMS_PREFIX + host : host;
  }

  private static DispatchState peersCounted(
      DispatchState state, DispatchEvent.PeersCounted counted) {
    PeerTable peers = state.peers().count(counted.known(), Set.copyOf(counted.hosts()));
    Set<String> touched = new HashSet<>();
    state
        .peers()
        .loads()
        .forEach(
            (host, loads) -> {
              if (!peers.loads().containsKey(host)) {
                touched.addAll(loads.keySet());
              }
            });
    return withPeerLoads(state.withPeers(peers), touched);
  }

  private static DispatchState withPeerLoads(DispatchState state, Set<String> touched) {
    InstanceTable table = state.instances();
    for (String instance : touched) {
      SentLoad sum = state.peers().loadAt(instance);
      table = table.change(instance, view -> view.withPeers(sum));
    }
    return state.withInstances(table);
  }

  private DispatchState tick(DispatchState state, MonotonicTime time) {
    List<String> gone = new ArrayList<>();
    for (InstanceView view : state.instances().all()) {
      boolean expired =
          view.removedAt().isPresent()
              && time.since(view.removedAt().get()).compareTo(settings.removalGrace()) > 0;
      if (expired && view.own().isNone()) {
        gone.add(view.identifier());
      }
    }
    InstanceTable table = state.instances();
    for (String identifier : gone) {
      table = table.without(identifier);
    }
    return gone.isEmpty() ? state : state.withInstances(table);
  }
}
