package org.parsleyhead.core.fleet;

/**
 * What one host reports about another.
 *
 * <p>Immutable and thread-safe.
 *
 * @param silenceMilliseconds the time since the last known contact with the host, in milliseconds
 * @param capacityPercent its processor share, in hundredths of a core; 0 if unknown
 * @param member whether it last reported that it knows the members of the fleet
 */
public record HostSummary(long silenceMilliseconds, int capacityPercent, boolean member) {}
