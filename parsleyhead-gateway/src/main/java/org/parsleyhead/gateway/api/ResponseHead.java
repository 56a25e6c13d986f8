package org.parsleyhead.gateway.api;

import java.util.Optional;

/**
 * The head of an instance's answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestIdentifier the request that it answers, if it says so
 * @param notRun whether the instance says that it has not run the request
 * @param misdirected whether the instance is not the one that was meant, or lacks the adapter
 * @param signed whether it bears the mark of an instance
 */
public record ResponseHead(
    Optional<String> requestIdentifier, boolean notRun, boolean misdirected, boolean stamped) {}
