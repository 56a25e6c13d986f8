package org.parsleyhead.load.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.parsleyhead.core.api.Endpoint;

/**
 * The settings of a load run: the generated traffic, its targets and its client accounts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param seed the seed of all random number generators
 * @param duration the period in which requests are scheduled
 * @param warmUp the initial period in which no latencies are recorded; responses are verified from
 *     the start
 * @param targets the entry hosts
 * @param targetChoice how the target of each request is chosen
 * @param movingInterval how long a client account keeps its target under {@link
 *     TargetChoice#MOVING}
 * @param requestTimeout the time after which a request without a complete response fails
 * @param adapters the adapters and their popularity
 * @param accounts the client accounts by name
 * @param trafficProfiles the traffic profiles
 * @param phases the phases in which the traffic changes
 */
public record LoadSettings(
    long seed,
    Duration duration,
    Duration warmUp,
    List<Endpoint> targets,
    TargetChoice targetChoice,
    Duration movingInterval,
    Duration requestTimeout,
    Adapters adapters,
    Map<String, Account> accounts,
    List<TrafficProfile> trafficProfiles,
    List<Phase> phases) {

  /** Makes defensive copies of the collections. */
  public LoadSettings {
    targets = List.copyOf(targets);
    accounts = Map.copyOf(accounts);
    trafficProfiles = List.copyOf(trafficProfiles);
    phases = List.copyOf(phases);
  }

  /** How the target of each request is chosen. */
  public enum TargetChoice {
    /** Round robin over all targets. */
    EVEN,
    /** A fixed target for each client account. */
    SKEWED,
    /** One target for each client account, which changes after each moving interval. */
    MOVING
  }

  /** The kind of request. */
  public enum Kind {
    /** A chat completion. */
    CHAT,
    /** A text completion. */
    COMPLETION,
    /** A call to a plain service. */
    CALL
  }

  /**
   * The adapters and their popularity.
   *
   * @param prefix the prefix of all adapter names, which precedes the number
   * @param count the number of adapters
   * @param version the requested version of all adapters
   * @param zipfExponent the exponent of the Zipf distribution of popularity over ranks
   */
  public record Adapters(String prefix, int count, int version, double zipfExponent) {}

  /**
   * A client account.
   *
   * @param name its name
   * @param key the API key that its callers present
   * @param tokensPerSecond its rate; zero if unknown, in which case compliance is not reported
   * @param burstTokens its burst in tokens
   */
  public record Account(String name, String key, long tokensPerSecond, long burstTokens) {}

  /**
   * The requests that a client account sends, and their expected handling.
   *
   * @param name its name
   * @param account the client account that sends the requests; empty to send them without a key
   * @param trafficClass the class under which its statistics are reported
   * @param kind the kind of the requests
   * @param method the HTTP method of calls
   * @param path the path of the requests
   * @param requestsPerSecond the mean request rate
   * @param streamed whether completions are streamed
   * @param model the requested model; empty to choose an adapter by popularity for each request
   * @param promptCharacters the length of prompts or bodies in characters
   * @param sharedPrefixCharacters the length of the prefix that all prompts for one adapter share
   * @param outputTokens the range of the maximum number of tokens to generate
   * @param idempotent whether calls may run more than once
   * @param idempotencyKeys whether calls carry idempotency keys
   * @param refusalExpected whether every request must be refused
   * @param repetition how requests are repeated
   */
  public record TrafficProfile(
      String name,
      String account,
      String trafficClass,
      Kind kind,
      String method,
      String path,
      double requestsPerSecond,
      boolean streamed,
      String model,
      Range promptCharacters,
      int sharedPrefixCharacters,
      Range outputTokens,
      boolean idempotent,
      boolean idempotencyKeys,
      boolean refusalExpected,
      Repetition repetition) {}

  /**
   * How callers, or a load balancer in front of the entry hosts, repeat a request through another
   * target.
   *
   * @param probability the probability that a request is sent twice, regardless of its first
   *     outcome
   * @param delay the delay between the first and the second attempt
   * @param retries the maximum number of retries of a request that failed
   */
  public record Repetition(double probability, Duration delay, int retries) {}

  /**
   * An inclusive range of lengths, from which lengths are drawn with a log-uniform distribution.
   */
  public record Range(int minimum, int maximum) {}

  /**
   * A period of the run in which traffic changes.
   *
   * @param name its name
   * @param start its start, relative to the start of the run
   * @param end its end, exclusive, relative to the start of the run
   * @param traffic the name of the traffic profile that it applies to; empty for all
   * @param account the client account that it applies to; empty for all
   * @param rateFactor the factor by which request rates are multiplied
   * @param rankShift the number of ranks by which the popularity of adapters is rotated
   */
  public record Phase(
      String name,
      Duration start,
      Duration end,
      String traffic,
      String account,
      double rateFactor,
      int rankShift) {

    /**
     * Returns whether this phase applies to a traffic profile at a time since the start of the run.
     */
    public boolean appliesTo(TrafficProfile candidate, Duration time) {
      return time.compareTo(start) >= 0
          && time.compareTo(end) < 0
          && (traffic.isEmpty() || traffic.equals(candidate.name()))
          && (account.isEmpty() || account.equals(candidate.account()));
    }
  }
}
