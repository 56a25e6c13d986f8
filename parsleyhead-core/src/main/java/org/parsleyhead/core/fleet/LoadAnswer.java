package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.instance.AdapterKey;

/**
 * The answer to a load request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the identifier of the instance
 * @param adapter the requested adapter
 * @param ordered whether the load was ordered or the adapter is already loaded
 * @param readyInMilliseconds the expected time until the adapter is loaded, in milliseconds
 * @param loadingForMilliseconds the time since the load was ordered, in milliseconds
 * @param reason the reason for a refusal; empty if the load was ordered
 */
public record LoadAnswer(
    String instance,
    AdapterKey adapter,
    boolean ordered,
    long readyInMilliseconds,
    long loadingForMilliseconds,
    String reason)
    implements PeerMessage {}
