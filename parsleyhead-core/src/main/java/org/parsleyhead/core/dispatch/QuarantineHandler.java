package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.quarantine.Audience;
import org.parsleyhead.core.quarantine.Loss;
import org.parsleyhead.core.quarantine.Quarantine;
import org.parsleyhead.core.quarantine.Standing;
import org.parsleyhead.core.quarantine.Trait;
import org.parsleyhead.core.quarantine.TraitReport;

/**
 * Collects the evidence about requests that may end their servers, and takes back what has been
 * sent with a trait that it speaks against.
 *
 * <p>Immutable and thread-safe.
 */
final class QuarantineHandler {

  /** Evidence is repeated this long, once per tick, in case a message is lost. */
  private static final Duration REPETITION_TIME = Duration.ofSeconds(4);

  /** Returns the traits that a request has in common with others. */
  static List<Trait> traits(ServingRequest request) {
    List<Trait> traits = new ArrayList<>();
    request
        .work()
        .ifPresent(
            work -> {
              for (PromptPart part : work.sharedParts()) {
                traits.add(new Trait(Trait.Kind.PROMPT_PART, part.identity()));
              }
              if (!work.adapter().baseModel()) {
                traits.add(new Trait(Trait.Kind.ADAPTER, identity(work.adapter())));
              }
            });
    return traits;
  }

  /** Records that the instance of a request has begun to answer it. */
  Step<DispatchState, DispatchEffect> answered(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return serverRun(state, active)
        .map(
            run ->
                changed(
                    state,
                    state.quarantine().answered(traits(active.request()), run, time),
                    "answer",
                    time))
        .orElse(Step.of(state));
  }

  /** Records that the connection of an attempt was lost before the answer had any content. */
  Step<DispatchState, DispatchEffect> lost(
      DispatchState state, ActiveRequest active, ResponseStage stage, MonotonicTime time) {
    List<Trait> traits = traits(active.request());
    Optional<Long> run = serverRun(state, active);
    if (traits.isEmpty() || run.isEmpty()) {
      return Step.of(state);
    }
    Loss loss = new Loss(run.get(), stage == ResponseStage.HEAD, time);
    return changed(
        state,
        state.quarantine().lost(traits, loss),
        "instance=" + active.progress().instance().orElse(""),
        time);
  }

  /**
   * Merges what another host has told, and tells it on as far as it is news. A host that suspects
   * what this one has seen answered gets a reply.
   */
  Step<DispatchState, DispatchEffect> newsReceived(
      DispatchState state, DispatchEvent.QuarantineNews news, MonotonicTime time) {
    Quarantine before = state.quarantine();
    Quarantine merged = before.merged(news.reports(), time);
    List<TraitReport> cleared = before.clearances(news.reports(), time);
    Step<DispatchState, DispatchEffect> step = withStandings(state, merged, "peer", time);
    return step.andThen(next -> tell(next, merged.news(before, time), Audience.RELAY))
        .andThen(next -> tell(next, cleared, Audience.only(news.host())));
  }

  Step<DispatchState, DispatchEffect> lifted(DispatchState state, Trait trait, MonotonicTime time) {
    return changed(state, state.quarantine().lifted(trait, time), "operator", time);
  }

  /** Forgets old evidence, and repeats what is new for hosts that have missed it. */
  Step<DispatchState, DispatchEffect> onTick(DispatchState state, MonotonicTime time) {
    if (state.quarantine().records().isEmpty()) {
      return Step.of(state);
    }
    return withStandings(state, state.quarantine().pruned(time), "expired", time)
        .andThen(
            next -> tell(next, next.quarantine().ownReports(REPETITION_TIME, time), Audience.ALL));
  }

  /** Tells all evidence, since a host that has just started knows nothing. */
  Step<DispatchState, DispatchEffect> onHostsChanged(DispatchState state, MonotonicTime time) {
    return tell(state, state.quarantine().reports(time), Audience.RELAY);
  }

  private Step<DispatchState, DispatchEffect> changed(
      DispatchState state, Quarantine next, String source, MonotonicTime time) {
    List<TraitReport> news = next.news(state.quarantine(), time);
    return withStandings(state, next, source, time)
        .andThen(updated -> tell(updated, news, Audience.ALL));
  }

  private static Step<DispatchState, DispatchEffect> tell(
      DispatchState state, List<TraitReport> reports, Audience audience) {
    return reports.isEmpty()
        ? Step.of(state)
        : Step.of(state, new DispatchEffect.TellQuarantine(reports, audience));
  }

  private Step<DispatchState, DispatchEffect> withStandings(
      DispatchState state, Quarantine next, String source, MonotonicTime time) {
    DispatchState updated = state.withQuarantine(next);
    if (next.records() == state.quarantine().records()) {
      return Step.of(updated);
    }
    Map<Trait, Standing> before = state.quarantine().restricted(time);
    Map<Trait, Standing> after = next.restricted(time);
    Set<Trait> all = new HashSet<>(before.keySet());
    all.addAll(after.keySet());
    List<DispatchEffect> effects = new ArrayList<>();
    Set<Trait> restricted = new HashSet<>();
    for (Trait trait : all) {
      Standing former = before.getOrDefault(trait, Standing.CLEAR);
      Standing standing = after.getOrDefault(trait, Standing.CLEAR);
      if (former != standing) {
        effects.add(
            new DispatchEffect.StandingChanged(trait, standing, next.losses(trait), source));
        if (standing.compareTo(former) > 0) {
          restricted.add(trait);
        }
      }
    }
    return new Step<>(updated, effects).andThen(current -> takeBack(current, restricted));
  }

  /**
   * Takes back the requests with a trait that no server has begun to answer yet. A response that
   * has started is left with its last run, since taking that back would end it.
   */
  private static Step<DispatchState, DispatchEffect> takeBack(
      DispatchState state, Set<Trait> restricted) {
    Step<DispatchState, DispatchEffect> step = Step.of(state);
    if (restricted.isEmpty()) {
      return step;
    }
    for (ActiveRequest active : state.requests().values()) {
      boolean unanswered =
          active.progress().phase() == Phase.SENT && !active.progress().assignment().answering();
      boolean lastRun = active.progress().responseStarted() && !active.mayRunAgain();
      if (unanswered
          && !lastRun
          && traits(active.request()).stream().anyMatch(restricted::contains)) {
        step = step.andThen(next -> Step.of(next, active.withdrawal("quarantine")));
      }
    }
    return step;
  }

  private static Optional<Long> serverRun(DispatchState state, ActiveRequest active) {
    return active
        .progress()
        .instance()
        .flatMap(identifier -> state.instances().find(identifier))
        .map(view -> serverRun(view.instance()));
  }

  private static long serverRun(Instance instance) {
    return Rendezvous.hash(instance.identifier() + "@" + instance.startedAtMilliseconds());
  }

  private static long identity(AdapterKey adapter) {
    return Rendezvous.hash(adapter.toString());
  }
}
