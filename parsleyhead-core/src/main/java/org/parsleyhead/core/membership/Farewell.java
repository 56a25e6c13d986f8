package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.PeerMessage;

/**
 * States that the sender's run relies on no attestation any longer and asks for none again.
 *
 * <p>Immutable and thread-safe.
 */
public record Farewell() implements PeerMessage {}
