package org.parsleyhead.load.result;

import java.util.Locale;
import java.util.Optional;
import org.parsleyhead.load.settings.LoadSettings.TrafficProfile;

/**
 * The outcome of one attempt of a request as observed by the caller.
 *
 * <p>Immutable and thread-safe. All durations start at the scheduled time of the request, even if
 * it was sent later.
 *
 * @param identifier the request identifier
 * @param attempt the number of the attempt, starting at one
 * @param group the group under which its statistics are reported
 * @param result the result
 * @param model the requested model; empty for calls
 * @param contentDigest the digest of the prompt or body
 * @param target the entry host
 * @param idempotent whether the request may run more than once
 * @param refusalExpected whether the request must be refused
 * @param dueEpochMilliseconds the scheduled time, in milliseconds since the epoch
 * @param dueNanoseconds the scheduled time, relative to the start of the run
 * @param sendDelayNanoseconds the delay between the scheduled and the actual time of sending
 * @param firstTokenNanoseconds the time to the first token; -1 if none was received or the response
 *     was not streamed
 * @param totalNanoseconds the time to the end of the response or to the failure
 * @param promptTokens the number of prompt tokens, computed from the prompt; zero for calls
 * @param tokens the number of tokens received
 * @param maximumTokens the maximum number of tokens to generate; zero for calls
 * @param status the HTTP status; zero if no response was received
 * @param code the code of a refusal or failure; empty otherwise
 * @param run the statement of a refusal on whether the request ran: {@code not_run}, {@code
 *     unknown} or empty
 * @param problem the problem of an incorrect or failed response; empty if there is none
 */
public record Outcome(
    String identifier,
    int attempt,
    Group group,
    RequestResult result,
    String model,
    String contentDigest,
    String target,
    boolean idempotent,
    boolean refusalExpected,
    long dueEpochMilliseconds,
    long dueNanoseconds,
    long sendDelayNanoseconds,
    long firstTokenNanoseconds,
    long totalNanoseconds,
    int promptTokens,
    int tokens,
    int maximumTokens,
    int status,
    String code,
    String run,
    Optional<String> problem) {

  /** The result of a request. */
  public enum RequestResult {
    /** A complete response was received and is correct. */
    ANSWERED,
    /** The request was refused. */
    REFUSED,
    /** No response, only a part of one, or an error within it was received. */
    FAILED,
    /** A complete response was received but is incorrect. */
    WRONG
  }

  /**
   * A group of requests whose statistics are reported together.
   *
   * @param account the client account
   * @param trafficClass the traffic class
   * @param kind the kind of request, in lower case
   */
  public record Group(String account, String trafficClass, String kind) {

    /** Returns the group of a traffic profile. */
    public static Group of(TrafficProfile traffic) {
      return new Group(
          traffic.account(),
          traffic.trafficClass(),
          traffic.kind().name().toLowerCase(Locale.ROOT));
    }
  }
}
