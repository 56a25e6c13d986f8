package org.parsleyhead.load.result;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.parsleyhead.load.settings.LoadSettings.Account;

/**
 * How what a client account was given compares with its rate and burst.
 *
 * <p>Immutable and thread-safe. The measure is one bucket that empties at the rate and into which
 * all tokens fall that were given, each answer's at the scheduled time of its request. A refusal
 * for the rate is wrongful if the request would have fitted into that bucket.
 *
 * @param account the name of the client account
 * @param requests how many requests it sent
 * @param refusedForRate how many were refused with 429
 * @param wrongfullyRefused how many of those would have fitted
 * @param withinRate how many of all requests were inside rate and burst, had none been refused
 * @param answeredWithinRate how many of those were answered
 * @param peakOverBurst the highest fill of the bucket over the burst
 */
public record AccountBound(
    String account,
    long requests,
    long refusedForRate,
    long wrongfullyRefused,
    long withinRate,
    long answeredWithinRate,
    double peakOverBurst) {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Works the comparison out for one client account. */
  public static AccountBound of(Account account, List<Outcome> outcomes) {
    List<Outcome> own =
        outcomes.stream()
            .filter(outcome -> outcome.group().account().equals(account.name()))
            .sorted(Comparator.comparingLong(Outcome::dueNanoseconds))
            .toList();
    List<Outcome> within = withinRate(account, own);
    double fill = 0;
    double peak = 0;
    long time = 0;
    long refused = 0;
    long wrongful = 0;
    for (Outcome outcome : own) {
      double elapsed = (outcome.dueNanoseconds() - time) / NANOSECONDS_PER_SECOND;
      time = outcome.dueNanoseconds();
      fill = Math.max(0, fill - elapsed * account.tokensPerSecond());
      if (outcome.status() == TOO_MANY_REQUESTS) {
        refused++;
        long cost = outcome.promptTokens() + outcome.maximumTokens();
        wrongful += fill + cost <= account.burstTokens() ? 1 : 0;
      } else if (outcome.tokens() > 0) {
        fill += outcome.promptTokens() + outcome.tokens();
        peak = Math.max(peak, fill);
      }
    }
    return new AccountBound(
        account.name(),
        own.size(),
        refused,
        wrongful,
        within.size(),
        within.stream().filter(outcome -> outcome.end() == Outcome.End.ANSWERED).count(),
        peak / account.burstTokens());
  }

  private static List<Outcome> withinRate(Account account, List<Outcome> own) {
    List<Outcome> within = new ArrayList<>();
    double fill = 0;
    long time = 0;
    for (Outcome outcome : own) {
      double elapsed = (outcome.dueNanoseconds() - time) / NANOSECONDS_PER_SECOND;
      time = outcome.dueNanoseconds();
      fill = Math.max(0, fill - elapsed * account.tokensPerSecond());
      long asked = outcome.promptTokens() + outcome.maximumTokens();
      if (fill + asked <= account.burstTokens()) {
        fill += asked;
        within.add(outcome);
      }
    }
    return within;
  }
}
