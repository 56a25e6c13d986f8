package org.parsleyhead.standin;

import java.time.Duration;

/**
 * A change of the service mode of a stand-in.
 *
 * <p>Immutable and thread-safe.
 *
 * @param mode the new mode
 * @param delay the response delay in the mode {@link ServiceMode#SLOW}; ignored in other modes
 */
public record ModeChange(ServiceMode mode, Duration delay) {

  /** The initial mode of a stand-in. */
  public static final ModeChange UP = new ModeChange(ServiceMode.UP, Duration.ZERO);

  /** Returns the delay that the mode adds to each response. */
  public Duration responseDelay() {
    return mode == ServiceMode.SLOW ? delay : Duration.ZERO;
  }
}
