package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * The record of a request that may run or have run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the claim that was recorded first
 * @param recorded when it was recorded
 */
record RepeatRecord(RequestIdentifier identifier, MonotonicTime recorded) {}
