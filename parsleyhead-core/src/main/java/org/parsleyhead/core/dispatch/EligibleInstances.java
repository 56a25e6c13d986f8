package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/**
 * Decides which instances a request may be sent to, whatever their load: none in an evacuated
 * failure domain.
 *
 * <p>Answers the evacuation of a failure domain. Immutable and thread-safe. The decision applies to
 * first and further attempts, to load requests and to instances that were removed recently.
 */
final class EligibleInstances {

  /**
   * When a caller should return that no server may serve now. Operators revoke an evacuation after
   * seconds at the earliest.
   */
  private static final Duration EXPECTED_CHANGE_DELAY = Duration.ofSeconds(1);

  private final DispatchSettings settings;

  EligibleInstances(DispatchSettings settings) {
    this.settings = settings;
  }

  /** Returns whether a request may be sent to an instance now. */
  boolean allows(DispatchState state, ActiveRequest active, InstanceView view, MonotonicTime time) {
    return permits(state, view);
  }

  /**
   * Handles a request that has no candidates: refuses it at once if all servers of its service are
   * evacuated. Returns empty if the request lacks candidates for another reason.
   */
  Optional<Step<DispatchState, DispatchEffect>> withoutCandidates(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    List<InstanceView> accepting =
        state.instances().ofService(active.service()).stream()
            .filter(InstanceView::acceptsRequests)
            .toList();
    boolean forbidden =
        !accepting.isEmpty() && accepting.stream().noneMatch(view -> permits(state, view));
    return forbidden
        ? Optional.of(
            RequestCompletion.fail(
                state,
                active,
                DispatchRefusal.Code.NO_INSTANCE,
                settings.retryAfter().retryAfter(EXPECTED_CHANGE_DELAY, active.request().hash()),
                "evacuated=" + state.placement().evacuated().domains(),
                time))
        : Optional.empty();
  }

  private static boolean permits(DispatchState state, InstanceView view) {
    return !state.placement().evacuated().contains(view.instance().failureDomain());
  }
}
