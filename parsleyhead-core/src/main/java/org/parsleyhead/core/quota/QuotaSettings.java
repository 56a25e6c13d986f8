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
 * {@link org.parsleyhead.core.membership.Standing}, drift margin included.
 *
 * @param self this host
 * @param incarnation the run of this process
 * @param bindingDuration how long the giver of an attestation is bound by its own clock
 * @param driftMargin by how much the clocks of two hosts may drift apart within that duration
 * @param noticeInterval how often the other members are told which cuts this host knows
 * @param loanDuration how long parts are lent
 * @param loanRequestInterval how often loans are asked for on behalf of one client account
 * @param maximumWait how long a request waits for a loan
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

  /** Checks the parts. */
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

  /** Returns the settings that fit those of the attestations. */
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

  /** Returns the settings with the usual durations. */
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

  /** Returns how long a new cut waits until the former one is out of use everywhere. */
  Duration installWait() {
    return bindingDuration.plus(driftMargin);
  }
}
