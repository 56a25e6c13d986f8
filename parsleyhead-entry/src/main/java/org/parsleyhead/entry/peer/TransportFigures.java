package org.parsleyhead.entry.peer;

/**
 * What the transport has done since its start.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bytesIn bytes received, frame headers included
 * @param bytesOut bytes sent, frame headers included
 * @param messagesIn messages received and handed on
 * @param messagesOut messages sent
 * @param dropped messages that were not sent
 * @param malformed frames that were not understood; their connections were closed
 * @param refused messages of unlisted senders; their connections were closed
 * @param connections outgoing connections that were opened
 * @param replaced outgoing connections that were replaced since they were silent
 */
public record TransportFigures(
    long bytesIn,
    long bytesOut,
    long messagesIn,
    long messagesOut,
    long dropped,
    long malformed,
    long refused,
    long connections,
    long replaced) {}
