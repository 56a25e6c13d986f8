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
 * @param failureDomain the failure domain it stands in
 * @param callers the callers' port
 * @param peerEndpoint where it listens for other entry hosts
 * @param administrationEndpoint where operators reach it
 * @param configurationService the address of the configuration service
 * @param hostListService the address of the host list
 * @param upstreams the limits of connections to upstreams
 * @param requests the limits of the request part
 * @param repeats the limits of the recognition of repetitions
 * @param tokens how tokens are counted before an upstream reports them
 * @param weightStore the allowance of the weight store
 * @param attestationDuration how long an attestation between hosts binds; how long exclusive rights
 *     rest when they go from one host to another
 * @param policy the name of the scheduling policy
 * @param lending whether hosts lend each other shares of rate and burst
 * @param workerThreads how many event loops serve callers and upstreams
 * @param stopTimeout the longest time that a planned stop waits for active requests
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
    WeightStoreAllowance weightStore,
    Duration attestationDuration,
    String policy,
    boolean lending,
    int workerThreads,
    Duration stopTimeout) {

  /** Checks the parts. */
  public EntrySettings {
    Preconditions.requireNonNull(host, "host.name");
    Preconditions.requireNonNull(failureDomain, "host.failure_domain");
    Preconditions.requireNonNull(policy, "scheduling.policy");
    Preconditions.requirePositive(workerThreads, "host.worker_threads");
    Preconditions.requireNonNull(stopTimeout, "host.stop_timeout");
  }

  /**
   * How tokens are counted before an upstream reports them.
   *
   * @param bytesPerPromptToken the least bytes of a prompt that make a token
   * @param defaultMaximumTokens how many tokens are generated if the caller gives no number
   */
  public record TokenEstimate(int bytesPerPromptToken, int defaultMaximumTokens) {}

  /**
   * The allowance of the weight store over all hosts of the cell together.
   *
   * @param loadsPerSecond how many transfers may start in a second
   * @param maximumTransfers how many transfers may be in flight
   */
  public record WeightStoreAllowance(double loadsPerSecond, int maximumTransfers) {}
}
