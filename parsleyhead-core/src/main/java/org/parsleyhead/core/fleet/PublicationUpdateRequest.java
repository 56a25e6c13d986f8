package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.PeerMessage;

/**
 * Requests the published items that changed after a revision from another host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint at which the sender receives messages
 * @param era the era of the store that the sender knows
 * @param afterRevision the revision up to which the sender is complete
 */
public record PublicationUpdateRequest(String endpoint, long era, long afterRevision)
    implements PeerMessage {}
