package org.parsleyhead.load.result;

import java.util.Locale;
import java.util.Optional;
import org.parsleyhead.load.settings.LoadSettings.Traffic;

/**
 * What became of one request, as its caller saw it.
 *
 * <p>Immutable and thread-safe. All durations are measured from the scheduled time of the request,
 * also if it was sent later.
 *
 * @param identifier the identity of the request
 * @param attempt which sending of the request this was, from one
 * @param group the group of its figures
 * @param end how it ended
 * @param model the model that was asked for
 * @param contentDigest the digest of the prompt or body
 * @param target the entry host
 * @param idempotent whether it may be repeated
 * @param refusalExpected whether it had to be refused
 * @param dueMilliseconds when it was due, in milliseconds since the epoch
 * @param dueNanoseconds when it was due, from the start of the run
 * @param lateNanoseconds how late it was sent
 * @param firstNanoseconds when the first token came; -1 if none came or the answer was not streamed
 * @param totalNanoseconds when it ended
 * @param promptTokens the length of the prompt, as reported or estimated
 * @param tokens how many tokens came
 * @param maximumTokens how many could have come
 * @param status the status of the answer; zero if there was none
 * @param code the code of a refusal or failure
 * @param run what a refusal says of whether the request ran
 * @param problem what is wrong with the answer
 */
public record Outcome(
    String identifier,
    int attempt,
    Group group,
    End end,
    String model,
    String contentDigest,
    String target,
    boolean idempotent,
    boolean refusalExpected,
    long dueMilliseconds,
    long dueNanoseconds,
    long lateNanoseconds,
    long firstNanoseconds,
    long totalNanoseconds,
    int promptTokens,
    int tokens,
    int maximumTokens,
    int status,
    String code,
    String run,
    Optional<String> problem) {

  /** How a request ended. */
  public enum End {
    /** With a whole answer that passed its check. */
    ANSWERED,
    /** With a refusal. */
    REFUSED,
    /** Without an answer, or with a part of one. */
    FAILED,
    /** With an answer that did not pass its check. */
    WRONG
  }

  /**
   * A group of requests whose figures stand together.
   *
   * @param account the client account
   * @param trafficClass the class
   * @param kind what was asked for, in lower case
   */
  public record Group(String account, String trafficClass, String kind) {

    /** Returns the group of a traffic. */
    public static Group of(Traffic traffic) {
      return new Group(
          traffic.account(),
          traffic.trafficClass(),
          traffic.kind().name().toLowerCase(Locale.ROOT));
    }
  }
}
