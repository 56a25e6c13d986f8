package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;
import org.pcollections.PMap;

/**
 * Decides how this host acts in the fleet.
 *
 * <p>Immutable and thread-safe.
 */
public final class FleetTransition implements Transition<FleetState, FleetEvent, FleetEffect> {

  /** A host that is heard of through hubs may be silent for this many times as long. */
  private static final int INDIRECT_SILENCE_FACTOR = 4;

  private final FleetSettings settings;
  private final Leases leases;
  private final EngineDesk desk;
  private final Heartbeats heartbeats;

  /** Creates the decisions with their numbers. */
  public FleetTransition(FleetSettings settings) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.leases = new Leases(settings);
    this.desk = new EngineDesk(settings, leases);
    this.heartbeats = new Heartbeats(settings, leases);
  }

  @Override
  public Step<FleetState, FleetEffect> apply(
      FleetState state, FleetEvent event, MonotonicTime time) {
    if (event instanceof FleetEvent.HeartbeatReceived received) {
      return heartbeat(state, received, time);
    }
    if (event instanceof FleetEvent.AnswerReceived received) {
      return answer(state, received, time);
    }
    if (event instanceof FleetEvent.LoadRequested requested) {
      return desk.loadRequested(state, requested.request(), time);
    }
    if (event instanceof FleetEvent.LoadAsked asked) {
      return loadAsked(state, asked, time);
    }
    if (event instanceof FleetEvent.LoadAnswered answered) {
      return Step.of(state, loadAnswered(answered.answer()));
    }
    if (event instanceof FleetEvent.OrderAnswered answered) {
      return desk.orderAnswered(state, answered, time);
    }
    if (event instanceof FleetEvent.ReportRead report) {
      return desk.reportRead(state, report, time);
    }
    if (event instanceof FleetEvent.ReportFailed failed) {
      return desk.reportFailed(state, failed, time);
    }
    if (event instanceof FleetEvent.Tick tick) {
      return tick(state, tick, time);
    }
    if (event instanceof FleetEvent.Leaving) {
      return desk.giveUpAll(state.withClocks(state.clocks().leave()));
    }
    return Step.of(learn(state, event, time));
  }

  private FleetState learn(FleetState state, FleetEvent event, MonotonicTime time) {
    if (event instanceof FleetEvent.InstancesAnnounced announced) {
      FleetState next = state;
      for (Instance instance : announced.instances()) {
        next = announced(next, instance, time);
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

  private static FleetState announced(FleetState state, Instance instance, MonotonicTime time) {
    Instance known = state.instances().get(instance.identifier());
    if (known != null && instance.startedAtMillis() < known.startedAtMillis()) {
      return state;
    }
    FleetState next = state.withInstances(state.instances().plus(instance.identifier(), instance));
    boolean restarted = known != null && !known.sameRun(instance);
    return restarted && state.engines().containsKey(instance.identifier())
        ? next.withEngine(instance.identifier(), OwnedEngine.unknown(time))
        : next;
  }

  private Step<FleetState, FleetEffect> heartbeat(
      FleetState state, FleetEvent.HeartbeatReceived received, MonotonicTime time) {
    Heartbeat heartbeat = received.heartbeat();
    HostView known =
        state
            .hosts()
            .getOrDefault(heartbeat.endpoint(), HostView.unheard(heartbeat.endpoint(), time));
    HostView heard =
        heartbeat.leaving()
            ? known.left(received.incarnation(), time)
            : known
                .heard(received.incarnation(), time)
                .withHeld(heartbeat.held())
                .withCapacity(heartbeat.capacityPercent());
    FleetState next =
        established(
            withNewHosts(state.withHost(heard), heartbeat.hosts(), time)
                .withClocks(state.clocks().fence(heartbeat.highestFence())),
            heartbeat.established());
    next =
        withFigures(
            withUse(next, heartbeat.endpoint(), heartbeat.use(), time),
            received.incarnation(),
            heartbeat);
    if (heartbeat.leaving()) {
      next = leases.released(next, heartbeat.endpoint(), time);
    }
    Step<FleetState, String> voted =
        leases.vote(next, heartbeat.endpoint(), heartbeat.claims(), time);
    List<FleetEffect> effects = new ArrayList<>();
    if (!known.alive() && !heartbeat.leaving() || !heartbeat.claims().isEmpty()) {
      effects.add(
          new FleetEffect.SendMessage(
              heartbeat.endpoint(),
              new HeartbeatAnswer(
                  heartbeat.nonce(),
                  settings.self(),
                  voted.state().clocks().highestFence(),
                  voted.effects())));
    }
    if (known.alive() != heard.alive()) {
      effects.add(note(heard.alive() ? "host_alive" : "host_leaving", heartbeat.endpoint()));
      effects.add(hostsChanged(voted.state()));
    }
    boolean hub = voted.state().hubs().contains(settings.self());
    effects.add(
        new FleetEffect.PeerFigures(
            heartbeat.endpoint(),
            received.incarnation(),
            heartbeat,
            heartbeat.sums() ? !hub : hub));
    heartbeat.reports().forEach(report -> effects.add(new FleetEffect.AdaptersKnown(report)));
    return new Step<>(voted.state(), effects);
  }

  private Step<FleetState, FleetEffect> answer(
      FleetState state, FleetEvent.AnswerReceived received, MonotonicTime time) {
    HeartbeatAnswer answer = received.answer();
    HostView known = state.hosts().get(answer.endpoint());
    MonotonicTime sentAt = state.clocks().sentAt().get(answer.nonce());
    if (known == null || sentAt == null) {
      return Step.of(state);
    }
    FleetState heard =
        state
            .withHost(known.heard(received.incarnation(), time))
            .withClocks(state.clocks().fence(answer.highestFence()));
    Step<FleetState, FleetEffect> step =
        leases.settle(leases.count(heard, answer.endpoint(), answer.votes(), sentAt), time);
    return known.alive() ? step : step.andThen(next -> Step.of(next, hostsChanged(next)));
  }

  private Step<FleetState, FleetEffect> tick(
      FleetState state, FleetEvent.Tick tick, MonotonicTime time) {
    FleetState ticked = state.withClocks(state.clocks().tick(tick.wallClockMillis()));
    return silentHosts(ticked.withHubs(Hubs.of(ticked, settings)), time)
        .andThen(next -> leases.settle(ownVotes(next, time), time))
        .andThen(next -> desk.tick(withOwnUse(next, tick, time), time))
        .andThen(next -> heartbeats.send(next, tick, time))
        .andThen(next -> Step.of(next, ownersKnown(next, time)));
  }

  private static FleetEffect ownersKnown(FleetState state, MonotonicTime time) {
    Duration votesIn = state.clocks().votesFrom().since(time);
    return new FleetEffect.OwnersKnown(
        state.ownedByAny(), votesIn.isNegative() ? Duration.ZERO : votesIn);
  }

  private FleetState ownVotes(FleetState state, MonotonicTime time) {
    Step<FleetState, String> voted =
        leases.vote(state, settings.self(), leases.claims(state, time), time);
    return leases.count(voted.state(), settings.self(), voted.effects(), time);
  }

  /**
   * Notes silent hosts, and forgets those that are silent for long. Only a host that hears a
   * majority may forget: the smaller side of a partition would become a fleet of its own.
   */
  private Step<FleetState, FleetEffect> silentHosts(FleetState state, MonotonicTime time) {
    PMap<String, HostView> hosts = state.hosts();
    FleetState next = state;
    List<FleetEffect> effects = new ArrayList<>();
    boolean changed = false;
    boolean mayForget = state.liveHosts().size() + 1 >= state.majority();
    for (HostView host : state.hosts().values()) {
      Duration silence = time.since(host.heardAt());
      if (mayForget && silence.compareTo(settings.forgetAfter()) > 0) {
        hosts = hosts.minus(host.endpoint());
        changed = true;
      } else if (host.inUse() && silence.compareTo(silenceLimit(state, host)) > 0) {
        hosts = hosts.plus(host.endpoint(), host.silent());
        next = withUse(next, host.endpoint(), Map.of(), time);
        effects.add(note("host_silent", host.endpoint()));
        changed = true;
      }
    }
    next = next.withHosts(hosts);
    if (changed) {
      effects.add(hostsChanged(next));
    }
    return new Step<>(next, effects);
  }

  /** Returns how long a host may be silent; one that is heard of through hubs may be longer. */
  private Duration silenceLimit(FleetState state, HostView host) {
    List<String> hubs = state.hubs();
    boolean direct = hubs.contains(settings.self()) || hubs.contains(host.endpoint());
    return direct
        ? settings.silenceLimit()
        : settings.silenceLimit().multipliedBy(INDIRECT_SILENCE_FACTOR);
  }

  private Step<FleetState, FleetEffect> loadAsked(
      FleetState state, FleetEvent.LoadAsked asked, MonotonicTime time) {
    LoadRequest request = new LoadRequest(settings.self(), asked.instance(), asked.adapter());
    if (state.engines().containsKey(asked.instance())) {
      return desk.loadRequested(state, request, time);
    }
    FleetEffect effect =
        state
            .holder(asked.instance())
            .<FleetEffect>map(holder -> new FleetEffect.SendMessage(holder, request))
            .orElseGet(
                () -> new FleetEffect.LoadRefused(asked.instance(), asked.adapter(), "no_owner"));
    return Step.of(state, effect);
  }

  private static FleetEffect loadAnswered(LoadAnswer answer) {
    return answer.ordered()
        ? new FleetEffect.LoadOrdered(
            answer.instance(), answer.adapter(), Duration.ofMillis(answer.readyInMillis()))
        : new FleetEffect.LoadRefused(answer.instance(), answer.adapter(), answer.reason());
  }

  private static FleetState withUse(
      FleetState state,
      String host,
      Map<String, Map<AdapterKey, Integer>> use,
      MonotonicTime time) {
    FleetState next = state;
    for (Map.Entry<String, OwnedEngine> engine : state.engines().entrySet()) {
      Map<AdapterKey, Integer> adapters = use.getOrDefault(engine.getKey(), Map.of());
      boolean nothing = adapters.isEmpty() && !engine.getValue().use().containsKey(host);
      if (!nothing) {
        next = next.withEngine(engine.getKey(), engine.getValue().withUse(host, adapters, time));
      }
    }
    return next;
  }

  private FleetState withOwnUse(FleetState state, FleetEvent.Tick tick, MonotonicTime time) {
    return withUse(state, settings.self(), tick.use(), time);
  }

  /** Adds hosts that another one knows; one that is silent keeps the time since it was heard. */
  private FleetState withNewHosts(
      FleetState state, Map<String, HostNotice> notices, MonotonicTime time) {
    FleetState next = state;
    for (Map.Entry<String, HostNotice> host : notices.entrySet()) {
      Duration silence = Duration.ofMillis(host.getValue().silentMillis());
      boolean remembered = silence.compareTo(settings.forgetAfter()) < 0;
      if (remembered && !host.getKey().equals(settings.self())) {
        HostView known = next.hosts().get(host.getKey());
        HostView view =
            known == null
                ? HostView.unheard(host.getKey(), time.minus(silence)).dueAt(time)
                : known.relayed(
                    time.minus(silence), silence.compareTo(settings.silenceLimit()) < 0);
        next = next.withHost(view.withCapacity(host.getValue().capacityPercent()));
      }
    }
    return next;
  }

  private FleetState established(FleetState state, boolean byOther) {
    boolean allSeeds =
        settings.seeds().stream()
            .filter(seed -> !seed.equals(settings.self()))
            .allMatch(seed -> heard(state.hosts().get(seed)));
    return byOther || allSeeds ? state.withClocks(state.clocks().establish()) : state;
  }

  private static boolean heard(HostView host) {
    return host != null && host.incarnation() != HostView.NEVER_HEARD;
  }

  private static FleetState withFigures(FleetState state, long incarnation, Heartbeat heartbeat) {
    if (heartbeat.sums()) {
      return state;
    }
    HostFigures known = state.figures().get(heartbeat.endpoint());
    HostFigures next =
        known == null
            ? HostFigures.first(incarnation, heartbeat)
            : known.report(incarnation, heartbeat);
    return state.withFigures(state.figures().plus(heartbeat.endpoint(), next));
  }

  private static FleetEffect hostsChanged(FleetState state) {
    return new FleetEffect.HostsChanged(state.liveHosts(), state.knownHosts());
  }

  private static FleetEffect note(String event, String subject) {
    return new FleetEffect.Note(event, subject, Optional.empty());
  }
}
