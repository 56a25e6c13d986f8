package org.parsleyhead.gateway.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;

/**
 * The settings of a gateway host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the name of the host
 * @param failureDomain where it runs
 * @param callersEndpoint where callers connect
 * @param readinessEndpoint where the balancer asks whether the host is ready
 * @param peersEndpoint where other hosts connect
 * @param metricsEndpoint where metrics are read; none if empty
 * @param seeds endpoints of other hosts to begin with
 * @param firstStart whether the whole fleet starts for the first time
 * @param capacityPercent the processor share of the host, in hundredths of a core
 * @param publicationEndpoint where the platform's store is
 * @param stopTimeout the longest time for a planned stop
 * @param removalGrace how long an instance whose announcement was removed is used if there is no
 *     other
 * @param leaseGap the least time between the orders of two hosts to one server
 * @param retryRatio the repeated sends for each request, over all hosts
 * @param retryBurst the repeated sends that are always allowed in a window, over all hosts
 * @param retryWindow the window of the retry budget
 * @param allowanceTolerance the part by which rates may be exceeded before requests are refused
 * @param allowanceSlack the units by which bursts may be exceeded, over all hosts
 * @param prefillTokensPerMillisecond how fast a model server reads a prompt
 * @param coldLoadDuration how long an adapter takes that the server did not hold lately
 * @param warmLoadDuration how long an adapter takes that the server held lately
 */
public record GatewaySettings(
    HostName host,
    FailureDomainName failureDomain,
    Endpoint callersEndpoint,
    Endpoint readinessEndpoint,
    Endpoint peersEndpoint,
    Optional<Endpoint> metricsEndpoint,
    List<String> seeds,
    boolean firstStart,
    int capacityPercent,
    Endpoint publicationEndpoint,
    Duration stopTimeout,
    Duration removalGrace,
    Duration leaseGap,
    double retryRatio,
    double retryBurst,
    Duration retryWindow,
    double allowanceTolerance,
    double allowanceSlack,
    double prefillTokensPerMillisecond,
    Duration coldLoadDuration,
    Duration warmLoadDuration) {

  /** Copies the seeds. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
  }
}
