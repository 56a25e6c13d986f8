package org.parsleyhead.standin.platform;

import java.time.Duration;

/**
 * The rate and timing of the weight store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param loadsPerSecond how many transfers may begin each second on average
 * @param burst how many transfers may begin at once after a pause
 * @param transferTime how long a transfer takes while few are in flight
 * @param fullSpeedTransfers how many transfers may be in flight before each takes longer
 */
public record WeightStoreSettings(
    double loadsPerSecond, int burst, Duration transferTime, int fullSpeedTransfers) {}
