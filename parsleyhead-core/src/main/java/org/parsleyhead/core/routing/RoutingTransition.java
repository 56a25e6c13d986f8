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
 * Transition of the routing duty: chooses an upstream for each attempt at a plain service, and
 * ejects upstreams that fail.
 *
 * <p>Immutable and thread-safe. Never chooses a leaving upstream. Does not retry attempts.
 */
public final class RoutingTransition
    implements Transition<RoutingState, RoutingEvent, RoutingEffect> {

  private static final Duration NO_UPSTREAM_RETRY_DELAY = Duration.ofSeconds(1);

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
    if (event instanceof RoutingEvent.UpstreamRequested requested) {
      return choose(state, requested, time);
    }
    return recordOutcome(state, (RoutingEvent.AttemptEnded) event, time);
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
      RoutingState state, RoutingEvent.UpstreamRequested requested, MonotonicTime time) {
    List<UpstreamHealth> usable = usable(state, requested);
    List<UpstreamHealth> healthy = usable.stream().filter(health -> !health.isEjected()).toList();
    Optional<UpstreamHealth> probed =
        usable.stream()
            .filter(health -> requested.idempotent() || healthy.isEmpty())
            .filter(health -> health.isHalfOpen(time))
            .findFirst();
    Optional<UpstreamHealth> chosen =
        probed.or(() -> twoRandomChoices(nearest(healthy), requested.randomNumber()));
    if (chosen.isEmpty() && isMostlyEjected(usable)) {
      chosen = twoRandomChoices(nearest(usable), requested.randomNumber());
    }
    return chosen
        .map(
            health ->
                Step.<RoutingState, RoutingEffect>of(
                    state.with(health.started(requested.identifier())),
                    new RoutingEffect.Send(requested.identifier(), health.item().name())))
        .orElseGet(
            () ->
                Step.of(
                    state,
                    new RoutingEffect.Refuse(requested.identifier(), NO_UPSTREAM_RETRY_DELAY)));
  }

  private static List<UpstreamHealth> usable(
      RoutingState state, RoutingEvent.UpstreamRequested requested) {
    return requested.upstreams().stream()
        .filter(name -> !requested.excluded().contains(name))
        .sorted()
        .map(name -> state.upstreams().get(name))
        .filter(health -> health != null && !health.item().leaving())
        .toList();
  }

  /**
   * Returns whether more than half of several upstreams are ejected. If so, the fault is more
   * likely on the side of this host, and ejected upstreams are used as well.
   */
  private static boolean isMostlyEjected(List<UpstreamHealth> usable) {
    long ejected = usable.stream().filter(UpstreamHealth::isEjected).count();
    return usable.size() > 1 && 2 * ejected > usable.size();
  }

  /** Returns the closest upstreams below the spillover threshold; all upstreams if none is. */
  private List<UpstreamHealth> nearest(List<UpstreamHealth> healthy) {
    List<UpstreamHealth> available =
        healthy.stream()
            .filter(health -> health.outstanding() < settings.spilloverThreshold())
            .toList();
    int smallest = available.stream().mapToInt(this::distanceTo).min().orElse(Integer.MAX_VALUE);
    List<UpstreamHealth> nearest =
        available.stream().filter(health -> distanceTo(health) == smallest).toList();
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
    List<UpstreamHealth> sampled =
        List.of(candidates.get(first), candidates.get((first + step) % count));
    return sampled.stream().min(Comparator.comparingInt(UpstreamHealth::outstanding));
  }

  private Step<RoutingState, RoutingEffect> recordOutcome(
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
