package org.parsleyhead.entry.peer;

/**
 * The totals of the transport since it was started.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bytesIn bytes received, frame headers included
 * @param bytesOut bytes sent, frame headers included
 * @param messagesIn messages received and passed on
 * @param messagesOut messages written to a connection
 * @param dropped messages dropped before they were written
 * @param malformed malformed frames; each closed its connection
 * @param refused messages of unlisted senders or from unlisted addresses; each closed its
 *     connection
 * @param connections outgoing connections opened
 * @param replaced outgoing connections replaced because a ping was not answered in time
 */
public record TransportStatistics(
    long bytesIn,
    long bytesOut,
    long messagesIn,
    long messagesOut,
    long dropped,
    long malformed,
    long refused,
    long connections,
    long replaced) {}
