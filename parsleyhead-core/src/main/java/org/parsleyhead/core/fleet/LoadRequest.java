package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.overload.RequestRank;

/**
 * Requests that the owner of an instance load an adapter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint at which the sender receives messages
 * @param instance the identifier of the instance
 * @param adapter the adapter to load
 * @param rank the rank of the request that waits for the load, when the message is sent
 */
public record LoadRequest(String endpoint, String instance, AdapterKey adapter, RequestRank rank)
    implements PeerMessage {}
