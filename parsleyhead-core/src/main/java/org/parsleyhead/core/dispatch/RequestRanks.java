package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.overload.RequestRank;

/**
 * Determines the ranks of active requests.
 *
 * <p>Immutable and thread-safe. An output token counts as much work as a prompt token, since no
 * rate of generation is known, but no more of them than the prompt has, since their stated number
 * is a maximum.
 */
final class RequestRanks {

  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final DispatchSettings settings;

  RequestRanks(DispatchSettings settings) {
    this.settings = settings;
  }

  /** Returns the rank of a request that waits for the load of its adapter at an instance. */
  RequestRank withLoad(ActiveRequest active, InstanceView view, MonotonicTime time) {
    ModelWork work = active.request().work().orElseThrow();
    Duration load =
        view.adapters().formerlyHeld(work.adapter()) ? settings.warmLoad() : settings.coldLoad();
    int cached = view.prefixCache().cachedTokens(work, active.prefixHashes());
    return rank(active, load.plus(processing(tokens(work) - cached)), time);
  }

  /** Returns the rank of a request that can be sent without a load to an unknown instance. */
  RequestRank withoutLoad(ActiveRequest active, MonotonicTime time) {
    Optional<ModelWork> work = active.request().work();
    return rank(active, work.map(known -> processing(tokens(known))).orElse(Duration.ZERO), time);
  }

  /** Returns the rank of a request whose work is only the processing of its prompt. */
  RequestRank ofPrompt(ActiveRequest active, MonotonicTime time) {
    Optional<ModelWork> work = active.request().work();
    return rank(
        active, work.map(known -> processing(known.promptTokens())).orElse(Duration.ZERO), time);
  }

  private static int tokens(ModelWork work) {
    return work.promptTokens() + Math.min(work.promptTokens(), work.maximumOutputTokens());
  }

  private static RequestRank rank(ActiveRequest active, Duration work, MonotonicTime time) {
    return new RequestRank(
        active.priority(),
        time.since(active.receivedAt()),
        active.route().latencyTarget(),
        active.deadline().since(active.receivedAt()),
        work);
  }

  private Duration processing(int tokens) {
    return Duration.ofNanos(
        (long)
            (Math.max(0, tokens)
                / settings.prefillTokensPerMillisecond()
                * NANOSECONDS_PER_MILLISECOND));
  }
}
