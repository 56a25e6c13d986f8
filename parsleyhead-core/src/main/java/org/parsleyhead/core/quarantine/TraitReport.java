package org.parsleyhead.core.quarantine;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * The evidence about one trait as hosts tell it each other, with ages instead of instants.
 *
 * <p>Immutable and thread-safe.
 *
 * @param trait the trait
 * @param answeredAgeMilliseconds the time since an answer last began; empty if none is known
 * @param losses the losses since then
 */
public record TraitReport(
    Trait trait, Optional<Long> answeredAgeMilliseconds, List<ReportedLoss> losses) {

  /** Validates the components and copies the list. */
  public TraitReport {
    Preconditions.requireNonNull(trait, "trait");
    Preconditions.requireNonNull(answeredAgeMilliseconds, "answeredAgeMilliseconds");
    losses = List.copyOf(losses);
  }

  /**
   * A loss with its age.
   *
   * <p>Immutable and thread-safe.
   *
   * @param serverRun identifies the run of the server
   * @param answerBegun whether the head of an answer had arrived
   * @param ageMilliseconds the time since the loss
   */
  public record ReportedLoss(long serverRun, boolean answerBegun, long ageMilliseconds) {}
}
