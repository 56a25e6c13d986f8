package org.parsleyhead.standin.platform;

import java.time.Duration;

/**
 * The rate limit and timing of the weight store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param loadsPerSecond how many transfers may start per second on average
 * @param burst how many transfers may start at once after an idle period
 * @param transferTime the duration of a transfer at full speed
 * @param fullSpeedTransfers the maximum number of transfers in flight at full speed; beyond it,
 *     transfers slow down
 */
public record WeightStoreSettings(
    double loadsPerSecond, int burst, Duration transferTime, int fullSpeedTransfers) {}
