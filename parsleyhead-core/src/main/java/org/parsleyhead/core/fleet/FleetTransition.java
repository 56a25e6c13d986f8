package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.overload.TargetShareOrder;
import org.parsleyhead.core.quarantine.Audience;

/**
 * Decides how this host takes part in the fleet: membership, leases, heartbeats and orders to the
 * model servers that it owns.
 *
 * <p>Immutable and thread-safe.
 */
public final class FleetTransition implements Transition<FleetState, FleetEvent, FleetEffect> {

  private final FleetSettings settings;
  private final Leases leases;
  private final EngineOrderScheduler orders;
  private final Heartbeats heartbeats;
  private final SilentHosts silentHosts;
  private final MembershipRules membership;
  private final HostIdentity self;

  /** Creates the transition of a host with the given settings. */
  public FleetTransition(FleetSettings settings) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.leases = new Leases(settings);
    this.orders = new EngineOrderScheduler(settings, leases, new TargetShareOrder());
    this.membership = new MembershipRules(settings);
    this.heartbeats = new Heartbeats(settings, leases, membership);
    this.silentHosts = new SilentHosts(settings, membership);
    this.self = HostIdentity.of(settings.self());
  }

  @Override
  public Step<FleetState, FleetEffect> apply(
      FleetState state, FleetEvent event, MonotonicTime time) {
    return membership.expire(state, time).andThen(next -> applyEvent(next, event, time));
  }

  private Step<FleetState, FleetEffect> applyEvent(
      FleetState state, FleetEvent event, MonotonicTime time) {
    if (event instanceof FleetEvent.HeartbeatReceived received) {
      return heartbeatReceived(state, received, time)
          .andThen(next -> containedAnswer(next, received, time));
    }
    if (event instanceof FleetEvent.HeartbeatAnswered received) {
      return heartbeatAnswered(state, received, time);
    }
    if (event instanceof FleetEvent.LoadRequested requested) {
      return orders.loadRequested(state, requested.request(), time);
    }
    if (event instanceof FleetEvent.LoadNeeded needed) {
      return loadNeeded(state, needed, time);
    }
    if (event instanceof FleetEvent.LoadAnswered answered) {
      return Step.of(state, loadAnswered(answered.answer()));
    }
    if (event instanceof FleetEvent.OrderAnswered answered) {
      return orders.orderAnswered(state, answered, time);
    }
    if (event instanceof FleetEvent.ReportRead report) {
      return orders.reportRead(membership.reportRead(state, report, time), report, time);
    }
    if (event instanceof FleetEvent.ReportFailed failed) {
      return orders.reportFailed(state, failed, time);
    }
    if (event instanceof FleetEvent.Tick tick) {
      return tick(state, tick, time);
    }
    if (event instanceof FleetEvent.QuarantineChanged changed) {
      return quarantineChanged(state, changed);
    }
    if (event instanceof FleetEvent.Leaving) {
      return orders.releaseAll(state.withLocal(state.local().asLeaving()));
    }
    return Step.of(applyPublished(state, event, time));
  }

  private FleetState applyPublished(FleetState state, FleetEvent event, MonotonicTime time) {
    if (event instanceof FleetEvent.InstancesAnnounced announced) {
      FleetState next = state;
      for (Instance instance : announced.instances()) {
        next = withAnnounced(next, instance, time);
      }
      return next;
    }
    if (event instanceof FleetEvent.InstanceRemoved removed) {
      String identifier = removed.identifier();
      return state
          .withInstances(state.instances().minus(identifier))
          .withLeases(state.leases().minus(identifier))
          .withEngines(state.engines().minus(identifier));
    }
    if (event instanceof FleetEvent.VersionDeclared declared) {
      return state.withVersions(state.versions().with(declared.adapter(), declared.version()));
    }
    if (event instanceof FleetEvent.CatalogueChanged changed) {
      return changed.catalogue().version() > state.catalogue().version()
          ? state.withCatalogue(changed.catalogue())
          : state;
    }
    return state;
  }

  private static FleetState withAnnounced(FleetState state, Instance instance, MonotonicTime time) {
    Instance known = state.instances().get(instance.identifier());
    if (known != null && instance.startedAtMilliseconds() < known.startedAtMilliseconds()) {
      return state;
    }
    FleetState next = state.withInstances(state.instances().plus(instance.identifier(), instance));
    boolean restarted = known != null && !known.sameRun(instance);
    return restarted && state.engines().containsKey(instance.identifier())
        ? next.withEngine(instance.identifier(), OwnedEngine.unknown(time))
        : next;
  }

  private Step<FleetState, FleetEffect> heartbeatReceived(
      FleetState state, FleetEvent.HeartbeatReceived received, MonotonicTime time) {
    Heartbeat heartbeat = received.heartbeat();
    HostView known =
        state
            .hosts()
            .getOrDefault(heartbeat.endpoint(), HostView.discovered(heartbeat.endpoint(), time));
    if (known.incarnations().isReplaced(received.incarnation())) {
      return Step.of(state, logEvent("message_of_replaced_process", heartbeat.endpoint()));
    }
    HostView updated =
        heartbeat.leaving()
            ? known.asLeaving(received.incarnation(), time)
            : known
                .withContact(received.incarnation(), time)
                .withHeldInstances(heartbeat.heldInstances())
                .withCapacity(heartbeat.capacityPercent());
    updated =
        updated.withStanding(
            updated.standing().withReport(heartbeat.membershipKnown(), heartbeat.contested()));
    Step<FleetState, FleetEffect> merged =
        membership.heartbeatReceived(
            state
                .withHost(updated)
                .withLocal(state.local().withObservedFence(heartbeat.highestFence())),
            heartbeat,
            time);
    FleetState next = merged.state();
    next =
        withStatistics(
            AdapterUse.record(next, heartbeat.endpoint(), heartbeat.adapterRequests(), time),
            received.incarnation(),
            heartbeat);
    if (heartbeat.leaving()) {
      next = leases.releaseVotes(next, heartbeat.endpoint(), time);
    }
    Step<FleetState, String> voted =
        leases.vote(next, heartbeat.endpoint(), heartbeat.claims(), time);
    HeartbeatAnswer answer = answer(voted.state(), heartbeat, voted.effects(), time);
    FleetState confirmed = withMembershipDigest(voted.state(), heartbeat, time);
    boolean hub = state.hubs().contains(settings.self());
    boolean answerLater =
        state.large() && !hub && known.alive() && state.hubs().contains(heartbeat.endpoint());
    List<FleetEffect> effects = new ArrayList<>(merged.effects());
    boolean answerExpected =
        !known.alive() && !heartbeat.leaving()
            || !heartbeat.membershipKnown()
            || !heartbeat.claims().isEmpty();
    if (answerLater) {
      HostView sender = confirmed.hosts().get(heartbeat.endpoint());
      confirmed =
          confirmed.withHost(sender.withExchange(sender.exchange().withAnswerDue(answer, time)));
    } else if (answerExpected) {
      effects.add(new FleetEffect.SendMessage(heartbeat.endpoint(), answer));
    }
    if (known.alive() != updated.alive()) {
      effects.add(logEvent(updated.alive() ? "host_alive" : "host_leaving", heartbeat.endpoint()));
      effects.add(hostsChanged(confirmed));
    }
    effects.add(
        new FleetEffect.PeerStatistics(
            heartbeat.endpoint(),
            received.incarnation(),
            heartbeat,
            heartbeat.aggregated() ? !hub : hub));
    heartbeat.reports().forEach(report -> effects.add(new FleetEffect.AdaptersReported(report)));
    return new Step<>(confirmed, effects);
  }

  private Step<FleetState, FleetEffect> containedAnswer(
      FleetState state, FleetEvent.HeartbeatReceived received, MonotonicTime time) {
    return received
        .heartbeat()
        .answer()
        .map(
            answer ->
                heartbeatAnswered(
                    state,
                    new FleetEvent.HeartbeatAnswered(
                        received.host(), received.incarnation(), answer),
                    time))
        .orElse(Step.of(state));
  }

  private HeartbeatAnswer answer(
      FleetState state, Heartbeat heartbeat, List<String> votes, MonotonicTime time) {
    boolean all = votes.equals(heartbeat.claims());
    MonotonicTime countedSince = state.hosts().get(heartbeat.endpoint()).standing().countedSince();
    return new HeartbeatAnswer(
        heartbeat.nonce(),
        settings.self(),
        state.local().highestFence(),
        state.membership().known() ? state.knownHosts() : 0,
        time.since(countedSince).compareTo(settings.voteDuration()) < 0,
        all,
        all ? List.of() : votes);
  }

  /** Records whether the sender of a heartbeat knows the same hosts, and the same of them alive. */
  private FleetState withMembershipDigest(
      FleetState state, Heartbeat heartbeat, MonotonicTime time) {
    HostView sender = state.hosts().get(heartbeat.endpoint());
    long reported = heartbeat.membershipDigest();
    HeartbeatExchange exchange = sender.exchange();
    return state.withHost(
        sender.withExchange(
            reported == state.membershipDigest(self)
                ? exchange.withConfirmation(reported, time)
                : exchange.withDifference(reported)));
  }

  private Step<FleetState, FleetEffect> heartbeatAnswered(
      FleetState state, FleetEvent.HeartbeatAnswered received, MonotonicTime time) {
    HeartbeatAnswer answer = received.answer();
    HostView known = state.hosts().get(answer.endpoint());
    SentHeartbeats sent = state.local().sentHeartbeats().get(answer.nonce());
    if (known == null || sent == null || known.incarnations().isReplaced(received.incarnation())) {
      return Step.of(state);
    }
    FleetState updated =
        state
            .withHost(known.withContact(received.incarnation(), time))
            .withLocal(state.local().withObservedFence(answer.highestFence()));
    List<String> votes = answer.votesForAll() ? sent.claims() : answer.votes();
    Step<FleetState, FleetEffect> step =
        leases
            .acquire(
                leases.countVotes(
                    updated, answer.endpoint(), votes, answer.knownHosts(), sent.sentAt()),
                votes,
                time)
            .andThen(next -> membership.answerReceived(next, answer, time));
    return known.alive() ? step : step.andThen(next -> Step.of(next, hostsChanged(next)));
  }

  private Step<FleetState, FleetEffect> tick(
      FleetState state, FleetEvent.Tick tick, MonotonicTime time) {
    FleetState ticked = state.withLocal(state.local().withWallClock(tick.wallClockMilliseconds()));
    return silentHosts
        .detect(ticked.withHubs(Hubs.of(ticked, settings)), time)
        .andThen(next -> membership.tick(next, time))
        .andThen(next -> leases.updateOwnership(voteForOwnClaims(next, time), time))
        .andThen(next -> orders.tick(withOwnAdapterRequests(next, tick, time), time))
        .andThen(next -> heartbeats.send(next, tick, time))
        .andThen(next -> Step.of(next, ownersKnown(next, time)));
  }

  private FleetEffect ownersKnown(FleetState state, MonotonicTime time) {
    Duration untilVotes = membership.voteExpectedAt(state, time).since(time);
    return new FleetEffect.OwnersKnown(
        state.ownedByAny(), untilVotes.isNegative() ? Duration.ZERO : untilVotes);
  }

  private FleetState voteForOwnClaims(FleetState state, MonotonicTime time) {
    Step<FleetState, String> voted =
        leases.vote(state, settings.self(), leases.claims(state, time), time);
    return leases.countVotes(
        voted.state(), settings.self(), voted.effects(), state.knownHosts(), time);
  }

  private Step<FleetState, FleetEffect> loadNeeded(
      FleetState state, FleetEvent.LoadNeeded needed, MonotonicTime time) {
    LoadRequest request =
        new LoadRequest(settings.self(), needed.instance(), needed.adapter(), needed.rank());
    if (state.engines().containsKey(needed.instance())) {
      return orders.loadRequested(state, request, time);
    }
    FleetEffect effect =
        state
            .leaseHolder(needed.instance())
            .<FleetEffect>map(holder -> new FleetEffect.SendMessage(holder, request))
            .orElseGet(
                () -> new FleetEffect.LoadRefused(needed.instance(), needed.adapter(), "no_owner"));
    return Step.of(state, effect);
  }

  /** Tells all hosts; in a large fleet only the hubs, which tell it on. */
  private Step<FleetState, FleetEffect> quarantineChanged(
      FleetState state, FleetEvent.QuarantineChanged changed) {
    Audience audience = changed.audience();
    boolean hub = state.hubs().contains(settings.self());
    if (audience.relayed() && !hub) {
      return Step.of(state);
    }
    Collection<String> allReached =
        audience.relayed()
            ? relayReceivers(state)
            : hub || !state.large() ? state.liveHosts() : state.hubs();
    Collection<String> receivers =
        audience.host().<Collection<String>>map(List::of).orElse(allReached);
    QuarantineReport report = new QuarantineReport(changed.reports());
    List<FleetEffect> effects =
        receivers.stream()
            .filter(receiver -> !receiver.equals(settings.self()))
            .<FleetEffect>map(receiver -> new FleetEffect.SendMessage(receiver, report))
            .toList();
    return new Step<>(state, effects);
  }

  /** Returns the other hubs, and the hosts that get totals from this one. */
  private List<String> relayReceivers(FleetState state) {
    List<String> hubs = state.hubs();
    return state.liveHosts().stream()
        .filter(
            host ->
                hubs.contains(host)
                    || Hubs.assignedHub(host, hubs).equals(Optional.of(settings.self())))
        .toList();
  }

  private static FleetEffect loadAnswered(LoadAnswer answer) {
    return answer.ordered()
        ? new FleetEffect.LoadOrdered(
            answer.instance(),
            answer.adapter(),
            Duration.ofMillis(answer.readyInMilliseconds()),
            Duration.ofMillis(answer.loadingForMilliseconds()))
        : new FleetEffect.LoadRefused(answer.instance(), answer.adapter(), answer.reason());
  }

  private FleetState withOwnAdapterRequests(
      FleetState state, FleetEvent.Tick tick, MonotonicTime time) {
    return AdapterUse.record(state, settings.self(), tick.adapterRequests(), time);
  }

  private static FleetState withStatistics(
      FleetState state, long incarnation, Heartbeat heartbeat) {
    if (heartbeat.aggregated()) {
      return state;
    }
    HostStatistics known = state.statistics().get(heartbeat.endpoint());
    HostStatistics next =
        known == null
            ? HostStatistics.first(incarnation, heartbeat)
            : known.withReport(incarnation, heartbeat);
    return state.withStatistics(state.statistics().plus(heartbeat.endpoint(), next));
  }

  private FleetEffect hostsChanged(FleetState state) {
    return state.hostsChanged(settings.self());
  }

  private static FleetEffect logEvent(String event, String subject) {
    return new FleetEffect.LogEvent(event, subject, Optional.empty());
  }
}
