package org.parsleyhead.standin.plain;

import java.time.Duration;

/**
 * How a plain service behaves.
 *
 * <p>Immutable and thread-safe.
 *
 * @param responseTime how long a call takes
 * @param honoursIdempotencyKeys whether a call with a known idempotency key runs no second time
 */
public record PlainServiceSettings(Duration responseTime, boolean honoursIdempotencyKeys) {}
