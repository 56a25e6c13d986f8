package org.parsleyhead.standin.plain;

import java.time.Duration;

/**
 * The timing and idempotency of a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param responseTime the time between a request and its response
 * @param deduplicatesByIdempotencyKey whether a request with a known idempotency key does not run
 *     again
 */
public record PlainServiceSettings(Duration responseTime, boolean deduplicatesByIdempotencyKey) {}
