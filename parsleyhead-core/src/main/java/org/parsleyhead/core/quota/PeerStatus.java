package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The status of another host according to its latest notice.
 *
 * <p>Immutable and thread-safe.
 *
 * @param incarnation the process that sent it
 * @param round the number of the notice
 * @param listVersion the list version that the process acts on
 * @param joined whether the process has joined the allocations
 * @param confirmedAt when this host sent the latest notice that the process acknowledged, an
 *     instant at which the process was already running; empty if it has not yet acknowledged one
 */
record PeerStatus(
    Incarnation incarnation,
    long round,
    long listVersion,
    boolean joined,
    Optional<MonotonicTime> confirmedAt) {}
