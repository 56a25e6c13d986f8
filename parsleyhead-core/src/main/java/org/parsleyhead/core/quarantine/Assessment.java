package org.parsleyhead.core.quarantine;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * The standing of a trait at an instant.
 *
 * <p>Immutable and thread-safe.
 *
 * @param standing the standing
 * @param score the weight of the losses that speak against the trait
 * @param since when the standing began; trials are counted from there
 * @param until when the standing ends if nothing else is learned
 */
record Assessment(Standing standing, int score, MonotonicTime since, MonotonicTime until) {}
