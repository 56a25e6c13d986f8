package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * What the last notice of another host said.
 *
 * <p>Immutable and thread-safe.
 *
 * @param incarnation the process that sent it
 * @param round its number
 * @param listVersion the list version that the process acts on
 * @param entered whether the process has taken up its share
 * @param confirmedAt an instant of this host's clock at which the process was running already;
 *     empty if it has not yet answered a notice of this host
 */
record Peer(
    Incarnation incarnation,
    long round,
    long listVersion,
    boolean entered,
    Optional<MonotonicTime> confirmedAt) {}
