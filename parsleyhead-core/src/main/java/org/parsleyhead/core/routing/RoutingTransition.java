package org.parsleyhead.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The routing duty: chooses an upstream for each attempt at a plain service.
 *
 * <p>Immutable and thread-safe. Never chooses a leaving upstream. Does not repeat attempts.
 */
public final class RoutingTransition
    implements Transition<RoutingState, RoutingEvent, RoutingEffect> {

  private static final Duration RETRY_WITHOUT_UPSTREAM = Duration.ofSeconds(1);

  private final RoutingSettings settings;
  private final DomainDistance distance;

  /** Creates the transition. */
  public RoutingTransition(RoutingSettings settings, DomainDistance distance) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.distance = Preconditions.requireNonNull(distance, "distance");
  }

  @Override
  public Step<RoutingState, RoutingEffect> apply(
      RoutingState state, RoutingEvent event, MonotonicTime time) {
    if (event instanceof RoutingEvent.UpstreamsChanged changed) {
      return Step.of(changeUpstreams(state, changed.upstreams(), time));
    }
    if (event instanceof RoutingEvent.UpstreamWanted wanted) {
      return choose(state, wanted, time);
    }
    return end(state, (RoutingEvent.AttemptEnded) event, time);
  }

  private static RoutingState changeUpstreams(
      RoutingState state, List<UpstreamItem> upstreams, MonotonicTime time) {
    PMap<UpstreamName, UpstreamHealth> next = HashTreePMap.empty();
    for (UpstreamItem item : upstreams) {
      if (item.engine().isEmpty()) {
        UpstreamHealth known = state.upstreams().get(item.name());
        UpstreamHealth health =
            known == null ? UpstreamHealth.unknown(item, time) : known.withItem(item);
        next = next.plus(item.name(), health);
      }
    }
    return new RoutingState(next);
  }

  private Step<RoutingState, RoutingEffect> choose(
      RoutingState state, RoutingEvent.UpstreamWanted wanted, MonotonicTime time) {
    List<UpstreamHealth> usable = usable(state, wanted);
    List<UpstreamHealth> healthy = usable.stream().filter(health -> !health.isEjected()).toList();
    Optional<UpstreamHealth> probed =
        usable.stream()
            .filter(health -> wanted.idempotent() || healthy.isEmpty())
            .filter(health -> health.isHalfOpen(time))
            .findFirst();
    Optional<UpstreamHealth> chosen =
        probed.or(() -> twoRandomChoices(nearest(healthy), wanted.randomNumber()));
    if (chosen.isEmpty() && isMostlyEjected(usable)) {
      chosen = twoRandomChoices(nearest(usable), wanted.randomNumber());
    }
    return chosen
        .map(
            health ->
                Step.<RoutingState, RoutingEffect>of(
                    state.with(health.started(wanted.identifier())),
                    new RoutingEffect.Send(wanted.identifier(), health.item().name())))
        .orElseGet(
            () ->
                Step.of(
                    state, new RoutingEffect.Refuse(wanted.identifier(), RETRY_WITHOUT_UPSTREAM)));
  }

  private static List<UpstreamHealth> usable(
      RoutingState state, RoutingEvent.UpstreamWanted wanted) {
    return wanted.upstreams().stream()
        .filter(name -> !wanted.excluded().contains(name))
        .sorted()
        .map(name -> state.upstreams().get(name))
        .filter(health -> health != null && !health.item().leaving())
        .toList();
  }

  /** If several upstreams seem to fail at once, the fault is more likely on this side. */
  private static boolean isMostlyEjected(List<UpstreamHealth> usable) {
    long ejected = usable.stream().filter(UpstreamHealth::isEjected).count();
    return usable.size() > 1 && 2 * ejected > usable.size();
  }

  /** Returns the nearest upstreams that are not busy; all of them if there are no such. */
  private List<UpstreamHealth> nearest(List<UpstreamHealth> healthy) {
    List<UpstreamHealth> idle =
        healthy.stream()
            .filter(health -> health.outstanding() < settings.spillOutstanding())
            .toList();
    int smallest = idle.stream().mapToInt(this::distanceTo).min().orElse(Integer.MAX_VALUE);
    List<UpstreamHealth> nearest =
        idle.stream().filter(health -> distanceTo(health) == smallest).toList();
    return nearest.isEmpty() ? healthy : nearest;
  }

  private int distanceTo(UpstreamHealth health) {
    return distance.to(health.item().failureDomain());
  }

  private static Optional<UpstreamHealth> twoRandomChoices(
      List<UpstreamHealth> candidates, long randomNumber) {
    int count = candidates.size();
    if (count == 0) {
      return Optional.empty();
    }
    int first = (int) Math.floorMod(randomNumber, (long) count);
    int step = count == 1 ? 0 : 1 + (int) Math.floorMod(randomNumber >>> 32, (long) count - 1);
    List<UpstreamHealth> drawn =
        List.of(candidates.get(first), candidates.get((first + step) % count));
    return drawn.stream().min(Comparator.comparingInt(UpstreamHealth::outstanding));
  }

  private Step<RoutingState, RoutingEffect> end(
      RoutingState state, RoutingEvent.AttemptEnded ended, MonotonicTime time) {
    UpstreamHealth before = state.upstreams().get(ended.upstream());
    if (before == null) {
      return Step.of(state);
    }
    UpstreamHealth after =
        switch (ended.outcome()) {
          case ANSWERED -> before.answered(ended.identifier(), settings.sampleHalfLife(), time);
          case FAILED -> before.failed(ended.identifier(), settings, time);
          case ABANDONED -> before.abandoned(ended.identifier());
        };
    List<RoutingEffect> effects = new ArrayList<>();
    if (after.ejections() > before.ejections()) {
      Duration duration = after.ejectedUntil().orElseThrow().since(time);
      effects.add(new RoutingEffect.Ejected(ended.upstream(), duration));
    }
    if (before.isEjected() && !after.isEjected()) {
      effects.add(new RoutingEffect.Restored(ended.upstream()));
    }
    return new Step<>(state.with(after), effects);
  }
}
