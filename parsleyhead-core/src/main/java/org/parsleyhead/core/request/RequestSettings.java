package org.parsleyhead.core.request;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * The limits that decisions on requests use.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maximumActiveRequests the maximum number of requests that are active on a host
 * @param maximumAttempts the maximum number of attempts for a request
 * @param plainCallTokens the number of tokens charged for a call to a plain service
 * @param retryRatio the retry credit that each accepted request adds; limits retry storms
 * @param maximumRetryCredit the maximum retry credit, in retries
 * @param decisionTimeout the time limit for admission and the repeat check, from the receipt of the
 *     request
 */
public record RequestSettings(
    int maximumActiveRequests,
    int maximumAttempts,
    long plainCallTokens,
    double retryRatio,
    double maximumRetryCredit,
    Duration decisionTimeout) {

  /**
   * The time after its receipt during which a request that is not idempotent may be written to an
   * upstream.
   */
  public static final Duration REPEAT_CHECK_VALIDITY = Duration.ofSeconds(10);

  /** The default settings of an entry host. */
  public static final RequestSettings DEFAULTS =
      new RequestSettings(8_192, 4, 1, 0.1, 50, Duration.ofSeconds(5));

  /** Validates the limits. */
  public RequestSettings {
    Preconditions.requirePositive(maximumActiveRequests, "maximumActiveRequests");
    Preconditions.requirePositive(maximumAttempts, "maximumAttempts");
    Preconditions.requireNonNegative(plainCallTokens, "plainCallTokens");
    Preconditions.requireNonNull(decisionTimeout, "decisionTimeout");
  }
}
