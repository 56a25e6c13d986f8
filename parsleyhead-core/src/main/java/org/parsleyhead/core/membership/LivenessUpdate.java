package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;

/**
 * An opinion on a host that travels with probes.
 *
 * <p>Immutable and thread-safe. Of two opinions on a host the one with the higher number wins; with
 * equal numbers the one of greater doubt. Only the host itself raises its number, to contradict.
 *
 * @param host the host
 * @param number the number that the host had given itself
 * @param liveness the opinion
 */
public record LivenessUpdate(HostName host, long number, Liveness liveness) {

  /** Checks the parts. */
  public LivenessUpdate {
    Preconditions.requireNonNull(host, "host");
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(liveness, "liveness");
  }

  /** Tells whether this opinion wins over another on the same host. */
  boolean supersedes(LivenessUpdate other) {
    return number > other.number
        || (number == other.number && liveness.compareTo(other.liveness) > 0);
  }
}
