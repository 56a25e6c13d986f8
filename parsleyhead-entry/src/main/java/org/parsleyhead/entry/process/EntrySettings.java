package org.parsleyhead.entry.process;

import java.net.URI;
import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.idempotency.RepeatSettings;
import org.parsleyhead.core.request.RequestSettings;
import org.parsleyhead.entry.callers.CallerSettings;
import org.parsleyhead.entry.upstream.UpstreamSettings;

/**
 * The settings of an entry host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the name of this host, as the host list publishes it
 * @param failureDomain the failure domain of this host
 * @param callers the settings of the callers' port
 * @param peerEndpoint the endpoint for other entry hosts
 * @param administrationEndpoint the endpoint for operators
 * @param configurationService the base URI of the configuration service
 * @param hostListService the base URI of the host list service
 * @param upstreams the timeouts of connections to upstreams
 * @param requests the limits of the request duty
 * @param repeats the limits of duplicate detection
 * @param tokens how tokens are estimated before an upstream reports them
 * @param weightStore the limits of transfers from the weight store
 * @param attestationDuration how long an attestation between hosts is binding, and so how long
 *     exclusive rights remain unused while they move from one host to another
 * @param policy the name of the scheduling policy
 * @param lending whether hosts lend each other shares of rate and burst
 * @param workerThreads the number of event loops that serve callers and upstreams
 * @param stopTimeout how long a planned stop waits for active requests
 */
public record EntrySettings(
    HostName host,
    FailureDomainName failureDomain,
    CallerSettings callers,
    Endpoint peerEndpoint,
    Endpoint administrationEndpoint,
    URI configurationService,
    URI hostListService,
    UpstreamSettings upstreams,
    RequestSettings requests,
    RepeatSettings repeats,
    TokenEstimate tokens,
    WeightStoreLimits weightStore,
    Duration attestationDuration,
    String policy,
    boolean lending,
    int workerThreads,
    Duration stopTimeout) {

  /** Requires the identity of the host, a policy, a stop timeout and at least one worker thread. */
  public EntrySettings {
    Preconditions.requireNonNull(host, "host.name");
    Preconditions.requireNonNull(failureDomain, "host.failure_domain");
    Preconditions.requireNonNull(policy, "scheduling.policy");
    Preconditions.requirePositive(workerThreads, "host.worker_threads");
    Preconditions.requireNonNull(stopTimeout, "host.stop_timeout");
  }

  /**
   * How the tokens of a request are estimated before an upstream reports them.
   *
   * @param bytesPerPromptToken the assumed minimum number of prompt bytes per token
   * @param defaultMaximumTokens the maximum number of generated tokens if the caller sets none
   */
  public record TokenEstimate(int bytesPerPromptToken, int defaultMaximumTokens) {}

  /**
   * The limits of transfers from the weight store, shared by all hosts of the cell.
   *
   * @param loadsPerSecond how many transfers may start per second
   * @param maximumTransfers how many transfers may be in flight at a time
   */
  public record WeightStoreLimits(double loadsPerSecond, int maximumTransfers) {}
}
