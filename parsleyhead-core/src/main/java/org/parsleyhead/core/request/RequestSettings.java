package org.parsleyhead.core.request;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * The limits of the request part.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maximumActive how many requests a host holds at a time
 * @param maximumAttempts how often a request is sent at most
 * @param plainCallTokens the tokens that a call to a plain service uses
 * @param retryRatio the retries earned by each request; a budget against storms of retries
 * @param maximumRetryCredit the most retries that can be saved up
 * @param decisionTimeout the longest time for admission and the check for repetitions
 */
public record RequestSettings(
    int maximumActive,
    int maximumAttempts,
    long plainCallTokens,
    double retryRatio,
    double maximumRetryCredit,
    Duration decisionTimeout) {

  /** How long after its receipt a request that is not idempotent may be written. */
  public static final Duration REPEAT_CHECK_VALIDITY = Duration.ofSeconds(10);

  /** Settings for one entry host of today's size. */
  public static final RequestSettings DEFAULTS =
      new RequestSettings(8_192, 4, 1, 0.1, 50, Duration.ofSeconds(5));

  /** Checks the limits. */
  public RequestSettings {
    Preconditions.requirePositive(maximumActive, "maximumActive");
    Preconditions.requirePositive(maximumAttempts, "maximumAttempts");
    Preconditions.requireNonNegative(plainCallTokens, "plainCallTokens");
    Preconditions.requireNonNull(decisionTimeout, "decisionTimeout");
  }
}
