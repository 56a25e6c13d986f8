package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * The durations and limits of engine ownership. All hosts of a cell use equal settings.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attestationDuration how long a host relies on an attestation of another host
 * @param pinDuration how long a pin is valid; a new owner evicts nothing before this has elapsed
 * @param clockMargin the maximum drift between two clocks during the lifetime of a pin or permit
 * @param reportLag the maximum age of the state that an engine reports
 * @param maximumRequestTransit the maximum time that a request is in transit to an engine
 * @param orderLifetime the maximum time that an order is in transit to an engine
 * @param orderTimeout the time after which the outcome of an unanswered order counts as unknown
 * @param readInterval the interval between two state reads of an engine
 * @param permitStartWindow the time from a permit request within which its transfer has to start
 * @param loadsPerSecond the maximum rate of transfers that the cell starts, per second
 * @param maximumTransfers the maximum number of transfers of the cell in flight
 * @param initialBackoff the maximum delay after the first failed load
 * @param maximumBackoff the maximum delay after repeated failed loads
 * @param reuseHalfLife the half-life of the expected reuse of an unused adapter
 */
public record OwnershipSettings(
    Duration attestationDuration,
    Duration pinDuration,
    Duration clockMargin,
    Duration reportLag,
    Duration maximumRequestTransit,
    Duration orderLifetime,
    Duration orderTimeout,
    Duration readInterval,
    Duration permitStartWindow,
    double loadsPerSecond,
    int maximumTransfers,
    Duration initialBackoff,
    Duration maximumBackoff,
    Duration reuseHalfLife) {

  /**
   * Validates the limits.
   *
   * @throws org.parsleyhead.core.api.InvalidValueException if a limit is not positive or a duration
   *     does not exceed the clock margin that is subtracted from it
   */
  public OwnershipSettings {
    Preconditions.require(loadsPerSecond > 0, "loadsPerSecond", "must be positive");
    Preconditions.requirePositive(maximumTransfers, "maximumTransfers");
    Preconditions.require(
        pinDuration.compareTo(clockMargin) > 0, "pinDuration", "must exceed the clock margin");
    Preconditions.require(
        orderLifetime.compareTo(clockMargin) > 0, "orderLifetime", "must exceed the clock margin");
  }

  /**
   * Returns the default settings with the limits of the weight store.
   *
   * @param loadsPerSecond the maximum rate of transfers that the cell starts, per second
   * @param maximumTransfers the maximum number of transfers of the cell in flight
   */
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
   * Returns how long a new owner waits before it uses what a former owner may still be using: until
   * all attestations to the former owner have expired and its last orders have reached the engine.
   */
  public Duration takeoverDelay() {
    return attestationDuration.plus(orderLifetime);
  }

  /** Returns how long an owner may lack attestations before another host may have taken over. */
  public Duration gapTolerance() {
    return orderLifetime.minus(clockMargin);
  }

  /** Returns how long after a grant the owner treats a pin as valid, clock margin included. */
  public Duration pinLifetime() {
    return pinDuration.plus(clockMargin);
  }

  /**
   * Returns how long after a grant the permit issuer counts a transfer as in flight, clock margin
   * included.
   */
  public Duration permitLifetime() {
    return permitStartWindow.plus(orderTimeout).plus(clockMargin);
  }
}
