package org.parsleyhead.load.result;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.parsleyhead.load.settings.LoadSettings.Account;

/**
 * Compares the tokens served to a client account with its rate and burst.
 *
 * <p>Immutable and thread-safe. The reference is a single leaky bucket that drains at the rate of
 * the account. The prompt and output tokens of each response are added at the scheduled time of its
 * request. A refusal with status 429 is wrongful if the request would have fitted into that bucket.
 *
 * @param account the name of the client account
 * @param requests the number of requests of the account
 * @param refusedForRate the number of requests refused with status 429
 * @param wrongfullyRefused the number of those that would have fitted into the bucket
 * @param withinRate the number of requests within rate and burst if none had been refused
 * @param answeredWithinRate the number of those that were answered
 * @param peakOverBurst the ratio of the maximum fill level of the bucket to the burst
 */
public record AccountRateCompliance(
    String account,
    long requests,
    long refusedForRate,
    long wrongfullyRefused,
    long withinRate,
    long answeredWithinRate,
    double peakOverBurst) {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Computes the comparison for a client account from the outcomes of a run. */
  public static AccountRateCompliance of(Account account, List<Outcome> outcomes) {
    List<Outcome> accountOutcomes =
        outcomes.stream()
            .filter(outcome -> outcome.group().account().equals(account.name()))
            .sorted(Comparator.comparingLong(Outcome::dueNanoseconds))
            .toList();
    List<Outcome> within = withinRate(account, accountOutcomes);
    double fillLevel = 0;
    double peak = 0;
    long time = 0;
    long refused = 0;
    long wrongful = 0;
    for (Outcome outcome : accountOutcomes) {
      double elapsed = (outcome.dueNanoseconds() - time) / NANOSECONDS_PER_SECOND;
      time = outcome.dueNanoseconds();
      fillLevel = Math.max(0, fillLevel - elapsed * account.tokensPerSecond());
      if (outcome.status() == TOO_MANY_REQUESTS) {
        refused++;
        long cost = outcome.promptTokens() + outcome.maximumTokens();
        wrongful += fillLevel + cost <= account.burstTokens() ? 1 : 0;
      } else if (outcome.tokens() > 0) {
        fillLevel += outcome.promptTokens() + outcome.tokens();
        peak = Math.max(peak, fillLevel);
      }
    }
    return new AccountRateCompliance(
        account.name(),
        accountOutcomes.size(),
        refused,
        wrongful,
        within.size(),
        within.stream()
            .filter(outcome -> outcome.result() == Outcome.RequestResult.ANSWERED)
            .count(),
        peak / account.burstTokens());
  }

  private static List<Outcome> withinRate(Account account, List<Outcome> accountOutcomes) {
    List<Outcome> within = new ArrayList<>();
    double fillLevel = 0;
    long time = 0;
    for (Outcome outcome : accountOutcomes) {
      double elapsed = (outcome.dueNanoseconds() - time) / NANOSECONDS_PER_SECOND;
      time = outcome.dueNanoseconds();
      fillLevel = Math.max(0, fillLevel - elapsed * account.tokensPerSecond());
      long requestedTokens = outcome.promptTokens() + outcome.maximumTokens();
      if (fillLevel + requestedTokens <= account.burstTokens()) {
        fillLevel += requestedTokens;
        within.add(outcome);
      }
    }
    return within;
  }
}
