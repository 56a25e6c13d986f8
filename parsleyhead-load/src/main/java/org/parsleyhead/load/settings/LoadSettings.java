package org.parsleyhead.load.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.parsleyhead.core.api.Endpoint;

/**
 * What load is sent, where to and by whom.
 *
 * <p>Immutable and thread-safe.
 *
 * @param seed the seed of everything random
 * @param duration how long requests are scheduled
 * @param warmUp how long latencies are not yet measured; answers are checked from the start
 * @param targets the entry hosts
 * @param targetChoice how a target is chosen for each request
 * @param movingInterval how long a client account stays at one target if the choice moves
 * @param requestTimeout after how long a request without a whole answer has failed
 * @param adapters the adapters and their popularity
 * @param accounts the client accounts by name
 * @param traffics the streams of requests
 * @param phases the changes during the run
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
    List<Traffic> traffics,
    List<Phase> phases) {

  /** Copies the collections. */
  public LoadSettings {
    targets = List.copyOf(targets);
    accounts = Map.copyOf(accounts);
    traffics = List.copyOf(traffics);
    phases = List.copyOf(phases);
  }

  /** How a target is chosen for each request. */
  public enum TargetChoice {
    /** All targets in turn. */
    EVEN,
    /** One target for each client account. */
    SKEWED,
    /** One target for each client account, another one after each interval. */
    MOVING
  }

  /** What a request asks for. */
  public enum Kind {
    /** A chat completion. */
    CHAT,
    /** A completion. */
    COMPLETION,
    /** A call of a plain service. */
    CALL
  }

  /**
   * The adapters and their popularity.
   *
   * @param prefix what stands before the number in each name
   * @param count how many adapters there are
   * @param version the version that is asked for
   * @param zipfExponent how fast popularity falls with the rank
   */
  public record Adapters(String prefix, int count, int version, double zipfExponent) {}

  /**
   * A client account.
   *
   * @param name its name
   * @param key the key that its callers show
   * @param tokensPerSecond its rate; zero if it is not known here
   * @param burstTokens its burst
   */
  public record Account(String name, String key, long tokensPerSecond, long burstTokens) {}

  /**
   * A stream of requests.
   *
   * @param name its name
   * @param account the client account that sends it
   * @param trafficClass the class under which its figures stand
   * @param kind what is asked for
   * @param method the method of calls
   * @param path the path of its requests
   * @param requestsPerSecond its mean rate
   * @param streamed whether completions are streamed
   * @param model a fixed model; empty if an adapter is drawn
   * @param promptCharacters the length of prompts or bodies
   * @param sharedPrefixCharacters how much of each prompt all prompts of one adapter share
   * @param outputTokens the greatest length of answers
   * @param idempotent whether its calls may be repeated
   * @param idempotencyKeys whether its calls carry idempotency keys
   * @param refusalExpected whether each request must be refused
   * @param repetition how its requests are sent again
   */
  public record Traffic(
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
   * How callers, or a balancer before the entry hosts, send a request again through another target.
   *
   * @param probability the fraction of requests that are sent twice, whatever becomes of the first
   * @param delay how long after the first the second is sent
   * @param retries how often a request is sent again after its connection failed
   */
  public record Repetition(double probability, Duration delay, int retries) {}

  /** A range of lengths, both ends included; lengths are spread evenly over their logarithms. */
  public record Range(int minimum, int maximum) {}

  /**
   * A change during a part of the run.
   *
   * @param name its name
   * @param start when it begins, from the start of the run
   * @param end when it ends
   * @param traffic the traffic that it concerns; empty for all
   * @param account the client account that it concerns; empty for all
   * @param rateFactor by what the rate is multiplied
   * @param rankShift by how many ranks the popularity of adapters is turned
   */
  public record Phase(
      String name,
      Duration start,
      Duration end,
      String traffic,
      String account,
      double rateFactor,
      int rankShift) {

    /** Tells whether this phase concerns a traffic at a time from the start of the run. */
    public boolean concerns(Traffic candidate, Duration time) {
      return time.compareTo(start) >= 0
          && time.compareTo(end) < 0
          && (traffic.isEmpty() || traffic.equals(candidate.name()))
          && (account.isEmpty() || account.equals(candidate.account()));
    }
  }
}
