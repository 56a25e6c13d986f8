package org.parsleyhead.core.quota;

import java.time.Duration;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.membership.MembershipSettings;

/**
 * The identity of this process and the durations of the quota protocol.
 *
 * <p>Immutable and thread-safe. The binding duration must be that of the attestations that feed
 * {@link org.parsleyhead.core.membership.RightsSnapshot}, drift margin included.
 *
 * @param self this host
 * @param incarnation the incarnation of this process
 * @param bindingDuration how long a host is bound by an attestation that it gave, by its own clock
 * @param driftMargin the maximum drift between the clocks of two hosts within that duration
 * @param noticeInterval the interval between notices of the known allocations to the other members
 * @param loanDuration the maximum duration of a loan
 * @param loanRequestInterval the interval between loan requests for one client account
 * @param maximumWait how long a request waits for tokens before it is refused
 */
public record QuotaSettings(
    HostName self,
    Incarnation incarnation,
    Duration bindingDuration,
    Duration driftMargin,
    Duration noticeInterval,
    Duration loanDuration,
    Duration loanRequestInterval,
    Duration maximumWait) {

  private static final Duration DEFAULT_BINDING_DURATION = Duration.ofMillis(10_200);
  private static final Duration DEFAULT_DRIFT_MARGIN = Duration.ofMillis(200);
  private static final Duration DEFAULT_NOTICE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_LOAN_DURATION = Duration.ofSeconds(2);
  private static final Duration DEFAULT_LOAN_REQUEST_INTERVAL = Duration.ofMillis(100);
  private static final Duration DEFAULT_MAXIMUM_WAIT = Duration.ofMillis(500);

  /** Validates the components. */
  public QuotaSettings {
    Preconditions.requireNonNull(self, "self");
    Preconditions.requireNonNull(incarnation, "incarnation");
    Preconditions.requireNonNull(bindingDuration, "binding_duration");
    Preconditions.requireNonNull(driftMargin, "drift_margin");
    Preconditions.requireNonNull(noticeInterval, "notice_interval");
    Preconditions.requireNonNull(loanDuration, "loan_duration");
    Preconditions.requireNonNull(loanRequestInterval, "loan_request_interval");
    Preconditions.requireNonNull(maximumWait, "maximum_wait");
    Preconditions.require(
        loanDuration.plus(driftMargin).compareTo(bindingDuration) < 0,
        "loan_duration",
        "must be shorter than binding_duration");
  }

  /** Returns settings that match those of the attestations, with defaults for the rest. */
  public static QuotaSettings of(MembershipSettings membership) {
    return new QuotaSettings(
        membership.self(),
        membership.incarnation(),
        membership.bindingDuration(),
        membership.driftMargin(),
        DEFAULT_NOTICE_INTERVAL,
        DEFAULT_LOAN_DURATION,
        DEFAULT_LOAN_REQUEST_INTERVAL,
        DEFAULT_MAXIMUM_WAIT);
  }

  /** Returns settings with the default durations. */
  public static QuotaSettings of(HostName self, Incarnation incarnation) {
    return new QuotaSettings(
        self,
        incarnation,
        DEFAULT_BINDING_DURATION,
        DEFAULT_DRIFT_MARGIN,
        DEFAULT_NOTICE_INTERVAL,
        DEFAULT_LOAN_DURATION,
        DEFAULT_LOAN_REQUEST_INTERVAL,
        DEFAULT_MAXIMUM_WAIT);
  }

  /**
   * Returns the delay before a new allocation is installed, after which no host uses the previous
   * one.
   */
  Duration installDelay() {
    return bindingDuration.plus(driftMargin);
  }
}
