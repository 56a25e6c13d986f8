package org.parsleyhead.core.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.overload.RankOrder;

/**
 * Orders the pending loads of a server by the requests that wait for them.
 *
 * <p>Immutable and thread-safe. Answers more wishes for loads than a server has adapter slots: the
 * load that is ordered is the one whose delay costs callers most, and the load that is refused is
 * the one whose refusal costs least. The lists are short, so that a scan is cheap.
 */
final class PendingLoads {

  private final RankOrder order;

  PendingLoads(RankOrder order) {
    this.order = order;
  }

  /** Returns the load that is ordered next; the earlier request if turns are equal. */
  PendingLoad first(List<PendingLoad> pending, MonotonicTime time) {
    return pending.stream().min(byTurn(time)).orElseThrow();
  }

  /** Returns the load that is refused if the list is too long. */
  PendingLoad last(List<PendingLoad> pending, MonotonicTime time) {
    return pending.stream().max(byTurn(time).thenComparing(PendingLoad::requestedAt)).orElseThrow();
  }

  /** Returns a load after a further request for the same adapter. */
  PendingLoad merged(PendingLoad load, LoadRequest request, MonotonicTime time) {
    return load.withRequest(request, order, time);
  }

  /** Returns the log event of a load that is refused because the list is too long. */
  FleetEffect dropped(String instance, PendingLoad load, MonotonicTime time) {
    return new FleetEffect.LogEvent(
        "pending_load_dropped",
        instance,
        Optional.of(
            "adapter="
                + load.adapter()
                + " priority="
                + load.rank().priority()
                + " turn_ms="
                + load.turn(order, time).toMillis()));
  }

  private Comparator<PendingLoad> byTurn(MonotonicTime time) {
    return Comparator.comparing(load -> load.turn(order, time));
  }
}
