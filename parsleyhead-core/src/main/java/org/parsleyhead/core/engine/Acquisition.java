package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.membership.RightsSnapshot;

/**
 * Tracks how long this host has held the exclusive right to a resource that rendezvous hashing over
 * the host list assigns to it.
 *
 * <p>The right is exclusive while all other members attest that they do not use what belongs to
 * this host, and while this host may claim from each removed host that precedes it in the
 * rendezvous order. Attestations count if their list version is neither older than the acquisition
 * nor newer than the list of this host. A gap in the attestations that is shorter than the
 * tolerance has no effect, since no other host could have taken over within it; a longer gap,
 * including one during which this process was suspended, restarts the period of exclusivity.
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

  /** Returns whether rendezvous hashing over the members assigns a key to this host. */
  static boolean belongsToSelf(RightsSnapshot rightsSnapshot, String key) {
    return Rendezvous.first(key, rightsSnapshot.members())
        .equals(Optional.of(rightsSnapshot.self()));
  }

  /** Returns an acquisition that is not exclusive yet. */
  static Acquisition begin(RightsSnapshot rightsSnapshot, String key, MonotonicTime time) {
    return new Acquisition(key, rightsSnapshot.version(), Optional.empty(), time);
  }

  /** Returns this acquisition updated from the current attestations. */
  Acquisition observe(RightsSnapshot rightsSnapshot, Duration gapTolerance, MonotonicTime time) {
    boolean exceedsTolerance =
        rightsSnapshot.members().size() > 1 && !time.isBefore(attestedUntil.plus(gapTolerance));
    Optional<MonotonicTime> kept = exceedsTolerance ? Optional.empty() : exclusiveSince;
    if (!isExclusiveNow(rightsSnapshot, time)) {
      return new Acquisition(key, version, kept, attestedUntil);
    }
    return new Acquisition(
        key,
        version,
        kept.or(() -> Optional.of(time)),
        earliestAttestationExpiry(rightsSnapshot, time));
  }

  /** Returns whether the right has been exclusive for at least a duration and still is. */
  boolean isExclusiveFor(Duration duration, RightsSnapshot rightsSnapshot, MonotonicTime time) {
    return exclusiveSince.isPresent()
        && !time.isBefore(exclusiveSince.get().plus(duration))
        && isExclusiveNow(rightsSnapshot, time);
  }

  private boolean isExclusiveNow(RightsSnapshot rightsSnapshot, MonotonicTime time) {
    return rightsSnapshot.isAttestedByAll(time)
        && rightsSnapshot.members().stream()
            .filter(member -> !member.equals(rightsSnapshot.self()))
            .allMatch(member -> hasValidAttestedVersion(rightsSnapshot, member))
        && rightsSnapshot.claimableFrom().keySet().stream()
            .filter(removed -> !rightsSnapshot.members().contains(removed))
            .filter(removed -> precedes(removed, rightsSnapshot.self()))
            .allMatch(removed -> rightsSnapshot.mayClaimFrom(removed, time));
  }

  /** Rejects attestations at a later list version: they show that the list here is outdated. */
  private boolean hasValidAttestedVersion(RightsSnapshot rightsSnapshot, HostName member) {
    long attested = rightsSnapshot.attestedVersion().getOrDefault(member, -1L);
    return attested >= version && attested <= rightsSnapshot.version();
  }

  private boolean precedes(HostName removed, HostName self) {
    return Rendezvous.order(key, List.of(removed, self)).get(0).equals(removed);
  }

  private static MonotonicTime earliestAttestationExpiry(
      RightsSnapshot rightsSnapshot, MonotonicTime time) {
    return rightsSnapshot.members().stream()
        .filter(member -> !member.equals(rightsSnapshot.self()))
        .map(member -> rightsSnapshot.attestedUntil().get(member))
        .min(MonotonicTime::compareTo)
        .orElse(time);
  }
}
