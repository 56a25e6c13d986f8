package org.parsleyhead.gateway.process;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.RegionName;

/**
 * The settings of a gateway host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the name of the host
 * @param failureDomain the failure domain in which the host runs
 * @param callersEndpoint the endpoint for callers
 * @param readinessEndpoint the endpoint at which the load balancer polls the readiness of the host
 * @param peersEndpoint the endpoint for other hosts
 * @param metricsEndpoint the endpoint for metrics; empty if metrics are not served
 * @param seeds the endpoints of the hosts to contact first
 * @param firstStart whether the whole fleet starts for the first time
 * @param capacityPercent the processor share of the host, in hundredths of a core
 * @param publicationEndpoint the endpoint of the platform's store
 * @param stopTimeout the maximum duration of a planned stop, less than the grace of the platform
 * @param removalGrace how long an instance whose announcement was removed is used if there is no
 *     other
 * @param leaseGap the minimum time between the orders of two hosts to one server
 * @param retryRatio the retries per request, over all hosts
 * @param retryBurst the retries that are always allowed in a window, over all hosts
 * @param retryWindow the window of the retry budget
 * @param allowanceTolerance the fraction by which rates may be exceeded before requests are refused
 * @param allowanceSlack the units by which bursts may be exceeded, over all hosts
 * @param prefillTokensPerMillisecond the prefill rate of a model server
 * @param coldLoadDuration the load time of an adapter that the server did not hold recently
 * @param warmLoadDuration the load time of an adapter that the server held recently
 * @param regions the region of each failure domain
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
    Duration warmLoadDuration,
    Map<FailureDomainName, RegionName> regions) {

  /** Copies the collections. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
    regions = Map.copyOf(regions);
  }
}
