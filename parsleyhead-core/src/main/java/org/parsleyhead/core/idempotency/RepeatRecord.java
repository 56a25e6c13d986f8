package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * The record of a request that may be running or may have run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identifier of the first recorded claim
 * @param recordedAt when it was recorded
 */
record RepeatRecord(RequestIdentifier identifier, MonotonicTime recordedAt) {}
