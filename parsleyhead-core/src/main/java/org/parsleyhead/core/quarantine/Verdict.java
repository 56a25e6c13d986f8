package org.parsleyhead.core.quarantine;

import java.time.Duration;
import java.util.Optional;

/**
 * Whether a request may be sent, by the traits that it carries.
 *
 * <p>Immutable and thread-safe.
 *
 * @param decision the decision
 * @param trait the trait that decided; empty if all traits are clear
 * @param standing the standing of that trait
 * @param score the weight of the losses that speak against it
 * @param retryAfter when the standing may have changed
 */
public record Verdict(
    Decision decision, Optional<Trait> trait, Standing standing, int score, Duration retryAfter) {

  static final Verdict SEND =
      new Verdict(Decision.SEND, Optional.empty(), Standing.CLEAR, 0, Duration.ZERO);

  /** Returns the inputs of the decision, for the log. */
  public String inputs() {
    return "trait="
        + trait.map(Trait::name).orElse("none")
        + " standing="
        + standing
        + " score="
        + score;
  }

  /** The decisions. Immutable and thread-safe. */
  public enum Decision {
    /** The request may be sent. */
    SEND,
    /** The request may be sent as the only one of this turn. */
    SEND_AS_TRIAL,
    /** The request must not be sent. */
    REFUSE
  }
}
