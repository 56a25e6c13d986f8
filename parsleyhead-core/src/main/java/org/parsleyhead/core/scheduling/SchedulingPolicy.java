package org.parsleyhead.core.scheduling;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.engine.EvictionPolicy;
import org.parsleyhead.core.ticket.Priority;

/**
 * The decisions that distinguish one scheduling policy from another.
 *
 * <p>Immutable and thread-safe.
 *
 * @param queueOrder the order of the waiting requests
 * @param engineChoice the choice among the engines that hold the adapter
 * @param placementOrder the order of preference of the engines on which an adapter may be loaded
 * @param maximumCopies the maximum number of engines on which an adapter may be pinned at a time
 * @param evictionPolicy the policy that selects the adapter to evict
 */
public record SchedulingPolicy(
    QueueOrder queueOrder,
    EngineChoice engineChoice,
    PlacementOrder placementOrder,
    int maximumCopies,
    EvictionPolicy evictionPolicy) {

  /** The name of the default policy. */
  public static final String ADAPTIVE = "adaptive";

  /** The name of the baseline policy {@link #firstComeFirstServed}. */
  public static final String FIRST_COME_FIRST_SERVED = "first_come_first_served";

  /** The name of the baseline policy {@link #leastOutstanding}. */
  public static final String LEAST_OUTSTANDING = "least_outstanding";

  /** The name of the baseline policy {@link #consistentHashing}. */
  public static final String CONSISTENT_HASHING = "consistent_hashing";

  private static final double FULL_LOAD = 1;

  /**
   * Returns the policy with a name, as used in the settings.
   *
   * @throws org.parsleyhead.core.api.InvalidValueException if no policy has that name
   */
  public static SchedulingPolicy named(String name, SchedulingSettings settings) {
    SchedulingPolicy policy =
        Map.of(
                ADAPTIVE, adaptive(settings),
                FIRST_COME_FIRST_SERVED, firstComeFirstServed(),
                LEAST_OUTSTANDING, leastOutstanding(),
                CONSISTENT_HASHING, consistentHashing())
            .get(name);
    Preconditions.require(policy != null, "policy", "must be a known policy");
    return policy;
  }

  /**
   * Returns the policy that shares service fairly between client accounts, spreads adapters over
   * engines by demand and evicts by expected reuse.
   */
  public static SchedulingPolicy adaptive(SchedulingSettings settings) {
    return new SchedulingPolicy(
        fairOrder(settings.batchPenalty()),
        packOntoFirstCopies(settings.spreadLoadThreshold()),
        firstWithRoom(),
        Integer.MAX_VALUE,
        EvictionPolicy.leastExpectedReuse());
  }

  /**
   * Returns the policy that serves requests in the order of arrival on any engine and evicts the
   * least recently used adapter.
   */
  public static SchedulingPolicy firstComeFirstServed() {
    return new SchedulingPolicy(
        (startTag, priority, sequence) -> sequence,
        twoRandomChoices(Comparator.comparingDouble(EngineChoice.Candidate::load)),
        (adapter, engines) -> rendezvous(adapter, engines),
        Integer.MAX_VALUE,
        EvictionPolicy.leastRecentlyUsed());
  }

  /**
   * Returns the policy that serves requests in the order of arrival on the engine with the fewest
   * outstanding requests of this host.
   */
  public static SchedulingPolicy leastOutstanding() {
    Comparator<EngineChoice.Candidate> byOutstanding =
        Comparator.comparingInt(EngineChoice.Candidate::outstanding)
            .thenComparing(EngineChoice.Candidate::name);
    return new SchedulingPolicy(
        (startTag, priority, sequence) -> sequence,
        (candidates, prefixHolder, randomNumber) ->
            candidates.stream().min(byOutstanding).orElseThrow(),
        (adapter, engines) -> engines.stream().sorted(byOutstanding).toList(),
        Integer.MAX_VALUE,
        EvictionPolicy.leastRecentlyUsed());
  }

  /**
   * Returns the policy that serves each adapter on the single engine selected by consistent
   * hashing.
   */
  public static SchedulingPolicy consistentHashing() {
    return new SchedulingPolicy(
        (startTag, priority, sequence) -> sequence,
        (candidates, prefixHolder, randomNumber) -> candidates.get(0),
        (adapter, engines) -> rendezvous(adapter, engines).stream().limit(1).toList(),
        1,
        EvictionPolicy.leastRecentlyUsed());
  }

  private static QueueOrder fairOrder(Duration batchPenalty) {
    double penaltySeconds = batchPenalty.toNanos() / 1e9;
    return (startTag, priority, sequence) ->
        startTag + (priority == Priority.BATCH ? penaltySeconds : 0);
  }

  /**
   * Chooses the engine that last received the same prompt prefix; otherwise the first engine below
   * the load threshold, so that surplus copies become idle; otherwise the less loaded of two random
   * engines.
   */
  private static EngineChoice packOntoFirstCopies(double spreadLoadThreshold) {
    EngineChoice spread =
        twoRandomChoices(Comparator.comparingDouble(EngineChoice.Candidate::load));
    return (candidates, prefixHolder, randomNumber) -> {
      Optional<EngineChoice.Candidate> holder =
          candidates.stream()
              .filter(candidate -> prefixHolder.equals(Optional.of(candidate.name())))
              .findFirst();
      Optional<EngineChoice.Candidate> first =
          candidates.stream()
              .filter(candidate -> candidate.load() < spreadLoadThreshold)
              .findFirst();
      return holder
          .or(() -> first)
          .orElseGet(() -> spread.choose(candidates, prefixHolder, randomNumber));
    };
  }

  private static EngineChoice twoRandomChoices(Comparator<EngineChoice.Candidate> better) {
    return (candidates, prefixHolder, randomNumber) -> {
      int count = candidates.size();
      int one = (int) Math.floorMod(randomNumber, (long) count);
      int step = count == 1 ? 0 : 1 + (int) Math.floorMod(randomNumber >>> 32, (long) count - 1);
      EngineChoice.Candidate first = candidates.get(one);
      EngineChoice.Candidate second = candidates.get((one + step) % count);
      return better.compare(first, second) <= 0 ? first : second;
    };
  }

  /** Returns the rendezvous order with fully loaded engines last. */
  private static PlacementOrder firstWithRoom() {
    return (adapter, engines) ->
        rendezvous(adapter, engines).stream()
            .sorted(Comparator.comparing(engine -> engine.load() >= FULL_LOAD))
            .toList();
  }

  private static List<EngineChoice.Candidate> rendezvous(
      AdapterReference adapter, List<EngineChoice.Candidate> engines) {
    Map<UpstreamName, EngineChoice.Candidate> byName =
        engines.stream()
            .collect(Collectors.toMap(EngineChoice.Candidate::name, Function.identity()));
    return Rendezvous.order(adapter.text(), byName.keySet()).stream().map(byName::get).toList();
  }
}
