package org.parsleyhead.core.ticket;

import java.time.Duration;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * The identity of this host and the parameters of the configuration protocol.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the name of this host
 * @param failureDomain the failure domain of this host
 * @param watchersPerDomain the number of hosts per failure domain that watch the service
 * @param pushFanout the number of hosts to which a new ticket is forwarded immediately
 * @param comparisonInterval the interval between catalogue comparisons with other hosts
 * @param watchTimeout the time that a watch waits in the service for a change
 * @param contactTimeout the age of the last contact with the service, direct or reported by another
 *     host, above which every host reads from it
 * @param startupTimeout the time since its first host list after which a starting host becomes
 *     ready with an answer of either the service or a ready host
 * @param retryDelay the delay after the first failure of a read; doubles with each further failure
 */
public record ConfigurationSettings(
    HostName self,
    FailureDomainName failureDomain,
    int watchersPerDomain,
    int pushFanout,
    Duration comparisonInterval,
    Duration watchTimeout,
    Duration contactTimeout,
    Duration startupTimeout,
    Duration retryDelay) {

  private static final int DEFAULT_WATCHERS_PER_DOMAIN = 2;
  private static final int DEFAULT_PUSH_FANOUT = 4;
  private static final Duration DEFAULT_COMPARISON_INTERVAL = Duration.ofSeconds(2);
  private static final Duration DEFAULT_WATCH_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DEFAULT_CONTACT_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration DEFAULT_STARTUP_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(500);

  /** Validates the parameters. */
  public ConfigurationSettings {
    Preconditions.requireNonNull(self, "self");
    Preconditions.requireNonNull(failureDomain, "failure_domain");
    Preconditions.requirePositive(watchersPerDomain, "watchers_per_domain");
    Preconditions.requirePositive(pushFanout, "push_fanout");
    Preconditions.requirePositive(comparisonInterval.toNanos(), "comparison_interval");
    Preconditions.requirePositive(watchTimeout.toNanos(), "watch_timeout");
    Preconditions.requirePositive(startupTimeout.toNanos(), "startup_timeout");
    Preconditions.requirePositive(retryDelay.toNanos(), "retry_delay");
    Preconditions.require(
        contactTimeout.compareTo(watchTimeout) > 0,
        "contact_timeout",
        "must be longer than watch_timeout");
  }

  /** Returns the default settings of a host. */
  public static ConfigurationSettings of(HostName self, FailureDomainName failureDomain) {
    return new ConfigurationSettings(
        self,
        failureDomain,
        DEFAULT_WATCHERS_PER_DOMAIN,
        DEFAULT_PUSH_FANOUT,
        DEFAULT_COMPARISON_INTERVAL,
        DEFAULT_WATCH_TIMEOUT,
        DEFAULT_CONTACT_TIMEOUT,
        DEFAULT_STARTUP_TIMEOUT,
        DEFAULT_RETRY_DELAY);
  }
}
