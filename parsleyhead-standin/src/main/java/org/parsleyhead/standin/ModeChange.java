package org.parsleyhead.standin;

import java.time.Duration;

/**
 * A change of how a stand-in answers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param mode the new mode
 * @param delay how long answers wait in the mode {@link ServiceMode#SLOW}
 */
public record ModeChange(ServiceMode mode, Duration delay) {

  /** The mode of a stand-in at its start. */
  public static final ModeChange UP = new ModeChange(ServiceMode.UP, Duration.ZERO);

  /** Returns how long an answer waits. */
  public Duration responseDelay() {
    return mode == ServiceMode.SLOW ? delay : Duration.ZERO;
  }
}
