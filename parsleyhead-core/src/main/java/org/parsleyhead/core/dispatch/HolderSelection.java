package org.parsleyhead.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.instance.AdapterKey;

/**
 * Selects among the servers that hold the adapter of a request.
 *
 * <p>Immutable and thread-safe. Handles a popular adapter that many hosts request at a time: hosts
 * know the load that other hosts cause with a delay of up to one second, so all of them would
 * select the same server if each selected the one with the lowest cost. The two servers that
 * rendezvous hashing prefers are used as long as the better one meets the latency target, which
 * also concentrates equal prompt prefixes. Beyond that, the load that other hosts have sent since
 * their last report is taken to be uncertain, and differs between requests.
 */
final class HolderSelection {

  /** Mean age of the reported load of the other hosts; heartbeats are sent every 500 ms. */
  private static final double REPORT_AGE_MILLISECONDS = 500;

  private final DispatchSettings settings;

  HolderSelection(DispatchSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns the server to use; empty if there are no holders.
   *
   * @param request the request
   * @param holders the servers that hold its adapter or load it
   * @param limit the cost up to which a server is expected to meet the latency target
   * @param servers the number of servers of the service
   * @param context the observations of this host
   * @param time the current time
   */
  Optional<Candidate> select(
      ActiveRequest request,
      List<Candidate> holders,
      double limit,
      int servers,
      PlacementContext context,
      MonotonicTime time) {
    if (holders.size() < 2) {
      return holders.stream().findFirst();
    }
    Candidate preferred = preferred(holders, key(request));
    return Optional.of(
        preferred.cost() <= limit
            ? preferred
            : leastExpected(request, holders, unreportedWork(servers, context, time)));
  }

  /** Returns the cheaper one of the two candidates with the highest rendezvous weight. */
  private static Candidate preferred(List<Candidate> holders, long key) {
    Candidate first = null;
    Candidate second = null;
    long firstWeight = Long.MIN_VALUE;
    long secondWeight = Long.MIN_VALUE;
    for (Candidate holder : holders) {
      long weight = weight(key, holder);
      if (first == null || weight > firstWeight) {
        second = first;
        secondWeight = firstWeight;
        first = holder;
        firstWeight = weight;
      } else if (second == null || weight > secondWeight) {
        second = holder;
        secondWeight = weight;
      }
    }
    return second.cost() < first.cost() ? second : first;
  }

  private static Candidate leastExpected(
      ActiveRequest request, List<Candidate> holders, double unreported) {
    long key = ownKey(request);
    Candidate best = null;
    double lowest = Double.POSITIVE_INFINITY;
    for (Candidate holder : holders) {
      double fraction = (weight(key, holder) >>> 11) * 0x1.0p-53;
      double cost = holder.cost() + 2 * fraction * unreported;
      if (best == null || cost < lowest) {
        best = holder;
        lowest = cost;
      }
    }
    return best;
  }

  /**
   * Returns the mean prefill time of the prompts that the other hosts have sent to a server since
   * their last report, if they send as much as this host.
   */
  private double unreportedWork(int servers, PlacementContext context, MonotonicTime time) {
    double tokens =
        context.demand().tokensPerMillisecond(time)
            * (context.hosts() - 1)
            * REPORT_AGE_MILLISECONDS
            / servers;
    return tokens / settings.prefillTokensPerMillisecond();
  }

  /**
   * Returns the expected prefill time of the prompts for an adapter that the other hosts have sent
   * to each of its holders since their last report, if their demand is that of this host.
   *
   * @param adapter the adapter
   * @param holders the number of servers that hold it
   * @param context the observations of this host
   * @param time the current time
   */
  double unreportedWork(
      AdapterKey adapter, int holders, PlacementContext context, MonotonicTime time) {
    double tokens =
        context.demand().of(adapter).tokensPerMillisecond(time)
            * (context.hosts() - 1)
            * REPORT_AGE_MILLISECONDS
            / Math.max(1, holders);
    return tokens / settings.prefillTokensPerMillisecond();
  }

  /**
   * Returns the key of the prefix that a request shares with others if it is most of the prompt, so
   * that its prefill is saved; otherwise the key of the request, which spreads the requests.
   */
  private static long key(ActiveRequest request) {
    ModelWork work = request.request().work().orElseThrow();
    int sharedTokens = work.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    return sharedTokens * 2 > work.promptTokens()
        ? request.prefixHashes().get(request.prefixHashes().size() - 2)
        : ownKey(request);
  }

  private static long ownKey(ActiveRequest request) {
    List<Long> hashes = request.prefixHashes();
    return hashes.isEmpty() ? request.request().hash() : hashes.get(hashes.size() - 1);
  }

  /**
   * Returns the rendezvous weight of a server. The hash code of a string is the same on all hosts,
   * and the string keeps it, so that a decision hashes no identifier.
   */
  static long weight(long key, Candidate candidate) {
    return Rendezvous.weight(key, candidate.view().identifier().hashCode());
  }
}
