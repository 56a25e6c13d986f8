package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.membership.Standing;

/**
 * Tracks how long this host has held the exclusive right to a resource that rendezvous hashing over
 * the host list assigns to it.
 *
 * <p>The right is exclusive while all other members attest that they do not use what belongs to
 * this host, and while this host may claim from each dropped host that preceded it. Attestations
 * count if their list version is neither older than the acquisition nor newer than the list of this
 * host. A gap in the attestations that is shorter than the tolerance has no effect, since no other
 * host could have taken over within it; a longer gap, including one during which this process was
 * suspended, restarts the period of exclusivity.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the rendezvous key of the resource
 * @param version the host list version at which this host became first in the rendezvous order
 * @param exclusiveSince the start of the current period of exclusivity, if any
 * @param attestedUntil the earliest expiry of the last complete set of attestations
 */
record Acquisition(
    String key, long version, Optional<MonotonicTime> exclusiveSince, MonotonicTime attestedUntil) {

  /** Tells whether rendezvous hashing over the members assigns a key to this host. */
  static boolean belongsToSelf(Standing standing, String key) {
    return Rendezvous.first(key, standing.members()).equals(Optional.of(standing.self()));
  }

  /** Returns an acquisition that is not exclusive yet. */
  static Acquisition begin(Standing standing, String key, MonotonicTime time) {
    return new Acquisition(key, standing.version(), Optional.empty(), time);
  }

  /** Returns this acquisition updated from the current attestations. */
  Acquisition observe(Standing standing, Duration gapTolerance, MonotonicTime time) {
    boolean exceedsTolerance =
        standing.members().size() > 1 && !time.isBefore(attestedUntil.plus(gapTolerance));
    Optional<MonotonicTime> kept = exceedsTolerance ? Optional.empty() : exclusiveSince;
    if (!isExclusiveNow(standing, time)) {
      return new Acquisition(key, version, kept, attestedUntil);
    }
    return new Acquisition(
        key, version, kept.or(() -> Optional.of(time)), earliestAttestationEnd(standing, time));
  }

  /** Tells whether the right has been exclusive for at least a duration and still is. */
  boolean isExclusiveFor(Duration duration, Standing standing, MonotonicTime time) {
    return exclusiveSince.isPresent()
        && !time.isBefore(exclusiveSince.get().plus(duration))
        && isExclusiveNow(standing, time);
  }

  private boolean isExclusiveNow(Standing standing, MonotonicTime time) {
    return standing.isAttestedByAll(time)
        && standing.members().stream()
            .filter(member -> !member.equals(standing.self()))
            .allMatch(member -> hasValidAttestedVersion(standing, member))
        && standing.claimableFrom().keySet().stream()
            .filter(dropped -> !standing.members().contains(dropped))
            .filter(dropped -> precedes(dropped, standing.self()))
            .allMatch(dropped -> standing.mayClaimFrom(dropped, time));
  }

  /** Rejects attestations at a later list version: they show that the list here is outdated. */
  private boolean hasValidAttestedVersion(Standing standing, HostName member) {
    long attested = standing.attestedVersion().getOrDefault(member, -1L);
    return attested >= version && attested <= standing.version();
  }

  private boolean precedes(HostName dropped, HostName self) {
    return Rendezvous.order(key, List.of(dropped, self)).get(0).equals(dropped);
  }

  private static MonotonicTime earliestAttestationEnd(Standing standing, MonotonicTime time) {
    return standing.members().stream()
        .filter(member -> !member.equals(standing.self()))
        .map(member -> standing.attestedUntil().get(member))
        .min(MonotonicTime::compareTo)
        .orElse(time);
  }
}
