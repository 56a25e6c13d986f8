package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * A liveness update about a host, carried by probes and their answers.
 *
 * <p>Immutable and thread-safe. Of two updates about a host, the one with the higher refutation
 * number takes precedence; with equal numbers, the one with the later {@link Liveness} constant.
 * Only the host itself increases its refutation number, to refute a suspicion.
 *
 * @param host the host
 * @param refutationNumber the refutation number of the host that the update is based on
 * @param liveness the liveness of the host
 */
public record LivenessUpdate(HostName host, long refutationNumber, Liveness liveness) {

  /** Validates the components. */
  public LivenessUpdate {
    Preconditions.requireNonNull(host, "host");
    Preconditions.requireNonNegative(refutationNumber, "number");
    Preconditions.requireNonNull(liveness, "liveness");
  }

  /** Returns whether this update takes precedence over another one about the same host. */
  boolean supersedes(LivenessUpdate other) {
    return refutationNumber > other.refutationNumber
        || (refutationNumber == other.refutationNumber && liveness.compareTo(other.liveness) > 0);
  }
}
