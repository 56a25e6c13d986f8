package org.parsleyhead.core.engine;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Transition of the ownership duty: grants pins on the engines that this host owns, loads and
 * evicts adapters on them, and issues transfer permits while this host is the permit issuer.
 *
 * <p>Immutable and thread-safe.
 */
public final class OwnershipTransition
    implements Transition<OwnershipState, EngineEvent, EngineEffect> {

  private final OwnershipSettings settings;
  private final PinAllocator pins;
  private final EngineExpiry expiry;
  private final EngineOrders orders;

  /**
   * Creates the transition.
   *
   * @param settings the durations and limits, equal on all hosts of the cell
   * @param evictionPolicy chooses the adapter to evict from a full engine
   */
  public OwnershipTransition(OwnershipSettings settings, EvictionPolicy evictionPolicy) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    OwnershipRights rights = new OwnershipRights(settings);
    this.pins = new PinAllocator(settings, rights);
    this.expiry = new EngineExpiry(settings);
    this.orders = new EngineOrders(settings, rights, pins, evictionPolicy);
  }

  @Override
  public Step<OwnershipState, EngineEffect> apply(
      OwnershipState state, EngineEvent event, MonotonicTime time) {
    if (event instanceof EngineEvent.RightsChanged changed) {
      return handleRightsChange(state, changed.rightsSnapshot(), time);
    }
    if (event instanceof EngineEvent.UpstreamsChanged changed) {
      return handleUpstreamsChange(state, changed.upstreams(), time);
    }
    if (event instanceof EngineEvent.MessageReceived received) {
      return handleMessage(state, received, time);
    }
    if (event instanceof EngineEvent.ReportReceived reported) {
      return handleReport(state, reported.report(), time);
    }
    if (event instanceof EngineEvent.ReadFailed failed) {
      OwnedEngine engine = state.owned().get(failed.engine());
      return Step.of(
          engine == null ? state : state.with(engine.withOrders(engine.orders().withReadFailed())));
    }
    if (event instanceof EngineEvent.OrderCompleted completed) {
      return orders.complete(state, completed, time);
    }
    return tick(state, time);
  }

  private Step<OwnershipState, EngineEffect> handleRightsChange(
      OwnershipState state, RightsSnapshot rightsSnapshot, MonotonicTime time) {
    boolean sameMembers = rightsSnapshot.members().equals(state.rightsSnapshot().members());
    OwnershipState changed = state.withRightsSnapshot(rightsSnapshot);
    Step<OwnershipState, EngineEffect> step =
        sameMembers ? Step.of(changed) : assign(changed, time);
    return new Step<>(observeRights(step.state(), time), step.effects());
  }

  private Step<OwnershipState, EngineEffect> handleUpstreamsChange(
      OwnershipState state, List<UpstreamItem> upstreams, MonotonicTime time) {
    PMap<UpstreamName, UpstreamItem> engines = HashTreePMap.empty();
    for (UpstreamItem item : upstreams) {
      if (item.engine().isPresent()) {
        engines = engines.plus(item.name(), item);
      }
    }
    return assign(state.withEngines(engines), time);
  }

  /**
   * Acquires the engines that rendezvous hashing over the host list assigns to this host, and drops
   * all others. Permits requested for the dropped engines are returned.
   */
  private Step<OwnershipState, EngineEffect> assign(OwnershipState state, MonotonicTime time) {
    PMap<UpstreamName, OwnedEngine> owned = HashTreePMap.empty();
    for (UpstreamItem item : state.engines().values()) {
      if (Acquisition.belongsToSelf(state.rightsSnapshot(), item.name().text())) {
        owned = owned.plus(item.name(), retainOrAcquire(state, item, time));
      }
    }
    List<EngineEffect> effects = new ArrayList<>();
    for (OwnedEngine former : state.owned().values()) {
      if (!owned.containsKey(former.name())) {
        effects.addAll(orders.returnPermit(former));
      }
    }
    return state.withOwned(owned).step(effects);
  }

  private OwnedEngine retainOrAcquire(OwnershipState state, UpstreamItem item, MonotonicTime time) {
    OwnedEngine known = state.owned().get(item.name());
    if (known != null) {
      return known.withItem(item);
    }
    Acquisition acquisition =
        Acquisition.begin(state.rightsSnapshot(), item.name().text(), time)
            .observe(state.rightsSnapshot(), settings.gapTolerance(), time);
    return OwnedEngine.acquired(item, acquisition);
  }

  private OwnershipState observeRights(OwnershipState state, MonotonicTime time) {
    RightsSnapshot rightsSnapshot = state.rightsSnapshot();
    OwnershipState observed =
        state.withPermitIssuer(
            state.permitIssuer().observe(rightsSnapshot, settings.gapTolerance(), time));
    for (OwnedEngine engine : state.owned().values()) {
      observed =
          observed.with(
              engine.withAcquisition(
                  engine.acquisition().observe(rightsSnapshot, settings.gapTolerance(), time)));
    }
    return observed;
  }

  private Step<OwnershipState, EngineEffect> handleMessage(
      OwnershipState state, EngineEvent.MessageReceived received, MonotonicTime time) {
    Sender sender = received.sender();
    if (received.message() instanceof PinRequest request) {
      return pins.request(state, sender, request, time)
          .andThen(next -> orders.advance(next, request.engine(), time));
    }
    if (received.message() instanceof PinRelease release) {
      return pins.release(state, sender, release, time)
          .andThen(next -> orders.advance(next, release.engine(), time));
    }
    if (received.message() instanceof PermitRequest request) {
      return grantPermits(
          state.withPermitIssuer(state.permitIssuer().enqueue(sender, request, time)), time);
    }
    if (received.message() instanceof PermitReturn returned) {
      return grantPermits(
          state.withPermitIssuer(state.permitIssuer().release(sender, returned)), time);
    }
    if (received.message() instanceof PermitGrant grant) {
      return orders.handleGrant(state, sender.host(), grant, time);
    }
    return Step.of(state);
  }

  private Step<OwnershipState, EngineEffect> handleReport(
      OwnershipState state, EngineReport report, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(report.engine());
    if (engine == null) {
      return Step.of(state);
    }
    OwnedEngine read =
        engine
            .withResidency(
                engine
                    .residency()
                    .withReport(
                        report, engine.orders().pending().map(EngineOrderState.Order::adapter)))
            .withOrders(engine.orders().withReadCompleted(report.readStarted()));
    EngineHint hint =
        new EngineHint(
            report.engine(),
            report.running(),
            report.waiting(),
            read.residency().resident(),
            time.since(report.readStarted()));
    List<EngineEffect> hints = new ArrayList<>();
    for (HostName recipient : read.hintRecipients().keySet()) {
      hints.add(new EngineEffect.Send(recipient, hint));
    }
    return state
        .with(read)
        .step(hints)
        .andThen(next -> pins.grantWaiters(next, report.engine(), time))
        .andThen(next -> orders.advance(next, report.engine(), time));
  }

  private Step<OwnershipState, EngineEffect> tick(OwnershipState state, MonotonicTime time) {
    Step<OwnershipState, EngineEffect> step = grantPermits(observeRights(state, time), time);
    for (UpstreamName engine : state.owned().keySet()) {
      step =
          step.andThen(next -> Step.of(expiry.expire(next, engine, time)))
              .andThen(next -> orders.expireAndRead(next, engine, time))
              .andThen(next -> pins.grantWaiters(next, engine, time))
              .andThen(next -> orders.advance(next, engine, time));
    }
    return step;
  }

  private Step<OwnershipState, EngineEffect> grantPermits(
      OwnershipState state, MonotonicTime time) {
    PermitIssuer.Outcome outcome =
        state.permitIssuer().grant(state.rightsSnapshot(), settings, time);
    List<EngineEffect> grants = new ArrayList<>();
    for (PermitIssuer.Granted granted : outcome.granted()) {
      Sender holder = granted.key().sender();
      grants.add(
          new EngineEffect.Send(
              holder.host(),
              new PermitGrant(
                  holder.incarnation(), granted.key().number(), settings.permitStartWindow())));
    }
    return state.withPermitIssuer(outcome.issuer()).step(grants);
  }
}
