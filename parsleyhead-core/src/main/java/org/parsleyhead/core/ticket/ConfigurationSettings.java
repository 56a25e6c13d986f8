package org.parsleyhead.core.ticket;

import java.time.Duration;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * The identity of this host and the numbers of the configuration protocol.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self this host
 * @param failureDomain where it stands
 * @param watchersPerDomain how many hosts of a failure domain watch the service
 * @param pushFanout to how many hosts a new ticket is passed on at once
 * @param comparisonInterval how often catalogues are compared with another host
 * @param watchPatience how long a watch waits in the service
 * @param silenceLimit after what time without news from the service every host asks it
 * @param startPatience how long a starting host waits for others before the service suffices
 * @param retryDelay the delay after the first failure of a call; it doubles with each further one
 */
public record ConfigurationSettings(
    HostName self,
    FailureDomainName failureDomain,
    int watchersPerDomain,
    int pushFanout,
    Duration comparisonInterval,
    Duration watchPatience,
    Duration silenceLimit,
    Duration startPatience,
    Duration retryDelay) {

  private static final int DEFAULT_WATCHERS_PER_DOMAIN = 2;
  private static final int DEFAULT_PUSH_FANOUT = 4;
  private static final Duration DEFAULT_COMPARISON_INTERVAL = Duration.ofSeconds(2);
  private static final Duration DEFAULT_WATCH_PATIENCE = Duration.ofSeconds(10);
  private static final Duration DEFAULT_SILENCE_LIMIT = Duration.ofSeconds(15);
  private static final Duration DEFAULT_START_PATIENCE = Duration.ofSeconds(2);
  private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(500);

  /** Checks the numbers. */
  public ConfigurationSettings {
    Preconditions.requireNonNull(self, "self");
    Preconditions.requireNonNull(failureDomain, "failure_domain");
    Preconditions.requirePositive(watchersPerDomain, "watchers_per_domain");
    Preconditions.requirePositive(pushFanout, "push_fanout");
    Preconditions.requirePositive(comparisonInterval.toNanos(), "comparison_interval");
    Preconditions.requirePositive(watchPatience.toNanos(), "watch_patience");
    Preconditions.requirePositive(startPatience.toNanos(), "start_patience");
    Preconditions.requirePositive(retryDelay.toNanos(), "retry_delay");
    Preconditions.require(
        silenceLimit.compareTo(watchPatience) > 0,
        "silence_limit",
        "must be more than watch_patience");
  }

  /** Returns the settings with the usual numbers. */
  public static ConfigurationSettings of(HostName self, FailureDomainName failureDomain) {
    return new ConfigurationSettings(
        self,
        failureDomain,
        DEFAULT_WATCHERS_PER_DOMAIN,
        DEFAULT_PUSH_FANOUT,
        DEFAULT_COMPARISON_INTERVAL,
        DEFAULT_WATCH_PATIENCE,
        DEFAULT_SILENCE_LIMIT,
        DEFAULT_START_PATIENCE,
        DEFAULT_RETRY_DELAY);
  }
}
