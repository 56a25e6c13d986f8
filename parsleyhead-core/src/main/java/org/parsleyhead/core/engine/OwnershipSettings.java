package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * The durations and limits of engine ownership. All hosts of a cell have equal ones.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attestation how long an attestation between hosts is relied on
 * @param pinDuration how long a pin is valid; a new owner evicts nothing before that has passed
 * @param clockMargin how far two clocks may drift apart within a pin or a permit
 * @param reportLag how far an engine's figures may lie behind the truth
 * @param startTransit how long a request may be on its way to an engine
 * @param orderLifetime how long an order may be on its way to an engine
 * @param orderTimeout after what time the outcome of an order counts as unknown
 * @param readInterval the interval between two readings of an engine
 * @param permitStartWindow within what time a permitted transfer starts
 * @param loadsPerSecond how many transfers the cell may start in a second
 * @param maximumTransfers how many transfers of the cell may be in flight
 * @param firstBackoff the wait after the first failed load
 * @param longestBackoff the longest wait after failed loads
 * @param reuseHalfLife in what time an unused adapter's expected reuse halves
 */
public record OwnershipSettings(
    Duration attestation,
    Duration pinDuration,
    Duration clockMargin,
    Duration reportLag,
    Duration startTransit,
    Duration orderLifetime,
    Duration orderTimeout,
    Duration readInterval,
    Duration permitStartWindow,
    double loadsPerSecond,
    int maximumTransfers,
    Duration firstBackoff,
    Duration longestBackoff,
    Duration reuseHalfLife) {

  /** Checks the limits. */
  public OwnershipSettings {
    Preconditions.require(loadsPerSecond > 0, "loadsPerSecond", "must be positive");
    Preconditions.requirePositive(maximumTransfers, "maximumTransfers");
    Preconditions.require(
        pinDuration.compareTo(clockMargin) > 0, "pinDuration", "must exceed the clock margin");
    Preconditions.require(
        orderLifetime.compareTo(clockMargin) > 0, "orderLifetime", "must exceed the clock margin");
  }

  /** Returns settings for an allowance of the weight store. */
  public static OwnershipSettings of(double loadsPerSecond, int maximumTransfers) {
    return new OwnershipSettings(
        Duration.ofSeconds(5),
        Duration.ofSeconds(30),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofMillis(500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(5),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        loadsPerSecond,
        maximumTransfers,
        Duration.ofMillis(500),
        Duration.ofSeconds(30),
        Duration.ofSeconds(60));
  }

  /**
   * Returns how long a new owner waits before it uses what a former owner may still use: until
   * nobody attests to that one any more and its last orders have arrived.
   */
  public Duration settling() {
    return attestation.plus(orderLifetime);
  }

  /** Returns how long an owner may lack attestations before another one may have settled. */
  public Duration gapTolerance() {
    return orderLifetime.minus(clockMargin);
  }

  /** Returns how long after a grant the owner counts a pin as valid. */
  public Duration pinCounted() {
    return pinDuration.plus(clockMargin);
  }

  /** Returns how long after a grant the keeper counts a transfer as in flight. */
  public Duration permitCounted() {
    return permitStartWindow.plus(orderTimeout).plus(clockMargin);
  }
}
