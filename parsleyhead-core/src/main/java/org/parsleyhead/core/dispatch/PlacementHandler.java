package org.parsleyhead.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.placement.ColdSends;
import org.parsleyhead.core.placement.ColdServers;
import org.parsleyhead.core.placement.EvacuatedDomains;
import org.parsleyhead.core.placement.PlacementState;
import org.parsleyhead.core.serving.ServiceDefinition;

/**
 * Keeps what a host knows about evacuated failure domains and cold servers.
 *
 * <p>Immutable and thread-safe.
 */
final class PlacementHandler {

  private final ColdSends coldSends;

  PlacementHandler(DispatchSettings settings) {
    this.coldSends = new ColdSends(settings.placement());
  }

  /** Handles a request to evacuate a failure domain, or to use it again. */
  DispatchState onEvacuationChanged(
      DispatchState state, DispatchEvent.EvacuationChanged changed, MonotonicTime time) {
    PlacementState placement = state.placement();
    DispatchState next =
        state.withPlacement(
            placement.withEvacuated(
                placement.evacuated().with(changed.domain(), changed.evacuated())));
    if (changed.evacuated()) {
      return next;
    }
    ColdServers cold = next.placement().cold();
    for (InstanceView view : next.instances().all()) {
      Optional<ServiceDefinition> service = next.catalogue().service(view.instance().service());
      boolean becomesCold =
          view.instance().failureDomain().equals(changed.domain())
              && service.map(definition -> !definition.coldDuration().isZero()).orElse(false);
      if (becomesCold) {
        cold =
            cold.evacuationEnded(
                view.identifier(), service.get().coldDuration(), shares(next), time);
      }
    }
    return withCold(next, cold);
  }

  /**
   * Handles an announcement.
   *
   * @param known the former announcement of the instance; empty if it was unknown
   */
  DispatchState onAnnounced(
      DispatchState state, Optional<Instance> known, Instance announced, MonotonicTime time) {
    boolean newer =
        known
            .map(
                former ->
                    former.sameRun(announced)
                        ? announced.announcementNumber() >= former.announcementNumber()
                        : announced.startedAtMilliseconds() >= former.startedAtMilliseconds())
            .orElse(true);
    return newer
        ? withCold(
            state,
            state
                .placement()
                .cold()
                .announced(announced.identifier(), announced.coldFor(), shares(state), time))
        : state;
  }

  /** Handles the statement of an instance in a response. */
  DispatchState onNotice(
      DispatchState state, DispatchEvent.InstanceNotice notice, MonotonicTime time) {
    boolean current =
        state
            .instances()
            .find(notice.instance().identifier())
            .map(view -> view.instance().sameRun(notice.instance()))
            .orElse(false);
    return notice.coldFor().isEmpty() || !current
        ? state
        : withCold(
            state,
            state
                .placement()
                .cold()
                .stated(
                    notice.instance().identifier(), notice.coldFor().get(), shares(state), time));
  }

  /** Returns the requests that wait for a load at an instance in an evacuated failure domain. */
  List<ActiveRequest> loadingInEvacuated(DispatchState state) {
    EvacuatedDomains evacuated = state.placement().evacuated();
    return state.requests().values().stream()
        .filter(active -> active.progress().phase() == Phase.LOADING)
        .filter(
            active ->
                active
                    .progress()
                    .instance()
                    .flatMap(state.instances()::find)
                    .map(view -> evacuated.contains(view.instance().failureDomain()))
                    .orElse(false))
        .toList();
  }

  /** Recomputes the shares of this host after the live hosts have changed. */
  DispatchState onHostsChanged(DispatchState state, MonotonicTime time) {
    return withCold(state, state.placement().cold().withShares(shares(state), time));
  }

  /** Forgets the servers that are not cold any more. */
  DispatchState onTick(DispatchState state, MonotonicTime time) {
    return withCold(state, state.placement().cold().withoutExpired(time));
  }

  private Predicate<String> shares(DispatchState state) {
    return server ->
        coldSends.hasShare(server, state.peers().liveHosts(), state.peers().hostCount());
  }

  private static DispatchState withCold(DispatchState state, ColdServers cold) {
    return cold == state.placement().cold()
        ? state
        : state.withPlacement(state.placement().withCold(cold));
  }
}
