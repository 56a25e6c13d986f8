package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.overload.RetryAfterPolicy;
import org.parsleyhead.core.overload.WaitPolicy;
import org.parsleyhead.core.placement.PlacementSettings;
import org.parsleyhead.core.quarantine.TrialRight;

/**
 * The settings of the dispatch duty.
 *
 * <p>Immutable and thread-safe.
 *
 * @param failureDomain the failure domain of this host
 * @param prefillTokensPerMillisecond the prefill rate of a model server that processes one prompt
 * @param coldLoad the load time of an adapter that the server did not hold recently
 * @param warmLoad the load time of an adapter that the server held recently
 * @param removalGrace the time for which an instance whose announcement was removed is still used
 *     if there is no other instance
 * @param retryRatio the retries that are allowed per request
 * @param retryBurst the retries of all hosts together that are allowed per window regardless of
 *     traffic
 * @param retryWindow the window of the retry budget
 * @param rateTolerance the fraction by which a rate may be exceeded before requests are refused
 * @param burstTolerance the units by which a burst may be exceeded before requests are refused
 * @param retryAfter decides when refused callers should return
 * @param waitPolicy decides whether requests wait for capacity that is expected later
 * @param trialRight decides whether this host may try a request that may end its server
 * @param placement the settings of the decisions where requests may be sent
 */
public record DispatchSettings(
    FailureDomainName failureDomain,
    double prefillTokensPerMillisecond,
    Duration coldLoad,
    Duration warmLoad,
    Duration removalGrace,
    double retryRatio,
    double retryBurst,
    Duration retryWindow,
    double rateTolerance,
    double burstTolerance,
    RetryAfterPolicy retryAfter,
    WaitPolicy waitPolicy,
    TrialRight trialRight,
    PlacementSettings placement) {}
