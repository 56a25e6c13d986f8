package org.parsleyhead.core.membership;

import java.time.Duration;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.Preconditions;

/**
 * The identity of this process and the timing of the membership protocol.
 *
 * <p>Immutable and thread-safe. Exclusive rights are safe as long as the clocks of two hosts drift
 * apart by less than the drift margin within one attestation duration.
 *
 * @param self this host
 * @param incarnation the run of this process
 * @param attestationDuration how long an attestation binds its issuer
 * @param driftMargin the maximum drift between the clocks of two hosts within that duration
 * @param attestationInterval the interval between two rounds of attestation requests
 * @param probeInterval the interval between two probes
 * @param probeTimeout the time without an answer after which other hosts are asked to probe the
 *     host
 * @param suspicionTimeout how long a host is suspected before it is considered failed
 */
public record MembershipSettings(
    HostName self,
    Incarnation incarnation,
    Duration attestationDuration,
    Duration driftMargin,
    Duration attestationInterval,
    Duration probeInterval,
    Duration probeTimeout,
    Duration suspicionTimeout) {

  private static final Duration DEFAULT_ATTESTATION_DURATION = Duration.ofSeconds(10);
  private static final Duration DEFAULT_DRIFT_MARGIN = Duration.ofMillis(200);
  private static final Duration DEFAULT_ATTESTATION_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_PROBE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_PROBE_TIMEOUT = Duration.ofMillis(500);
  private static final Duration DEFAULT_SUSPICION_TIMEOUT = Duration.ofSeconds(5);

  /** Validates the durations. */
  public MembershipSettings {
    Preconditions.requireNonNull(self, "self");
    Preconditions.requireNonNull(incarnation, "incarnation");
    requirePositive(attestationDuration, "attestation_duration");
    requirePositive(driftMargin, "drift_margin");
    requirePositive(attestationInterval, "attestation_interval");
    requirePositive(probeInterval, "probe_interval");
    requirePositive(probeTimeout, "probe_timeout");
    requirePositive(suspicionTimeout, "suspicion_timeout");
    Preconditions.require(
        driftMargin.multipliedBy(2).compareTo(attestationDuration) < 0,
        "drift_margin",
        "must be less than half of attestation_duration");
  }

  /** Returns settings with the default durations. */
  public static MembershipSettings of(HostName self, Incarnation incarnation) {
    return new MembershipSettings(
        self,
        incarnation,
        DEFAULT_ATTESTATION_DURATION,
        DEFAULT_DRIFT_MARGIN,
        DEFAULT_ATTESTATION_INTERVAL,
        DEFAULT_PROBE_INTERVAL,
        DEFAULT_PROBE_TIMEOUT,
        DEFAULT_SUSPICION_TIMEOUT);
  }

  /** Returns these settings with another attestation duration. */
  public MembershipSettings withAttestationDuration(Duration duration) {
    return new MembershipSettings(
        self,
        incarnation,
        duration,
        driftMargin,
        attestationInterval,
        probeInterval,
        probeTimeout,
        suspicionTimeout);
  }

  /** Returns how long an attestation binds its issuer, measured by the clock of the issuer. */
  public Duration bindingDuration() {
    return attestationDuration.plus(driftMargin);
  }

  private static void requirePositive(Duration duration, String argument) {
    Preconditions.requireNonNull(duration, argument);
    Preconditions.require(
        !duration.isZero() && !duration.isNegative(), argument, "must be positive");
  }
}
