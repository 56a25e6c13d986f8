package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.PeerMessage;

/**
 * Announces that this run of the sender's process no longer relies on any attestation and will not
 * request another one.
 *
 * <p>Immutable and thread-safe.
 */
public record DepartureNotice() implements PeerMessage {}
