package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.membership.Standing;

/**
 * How long this host has had the exclusive right to something that the host list gives to one host.
 *
 * <p>The right is exclusive while all other members attest, at the list version of the acquisition
 * or a later one but not at one that this host does not know, that they do not use what belongs to
 * this host, and while this host may claim from each dropped host that preceded it. A gap that is
 * shorter than the tolerance does not matter, since no other host could have settled in it; any
 * longer one, also one that was slept through, starts the count anew.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the rendezvous key
 * @param version the list version at which this host became the first in the order
 * @param exclusiveSince since when the right has been exclusive without a gap that matters
 * @param coveredUntil until when the attestations that were last complete cover it
 */
record Acquisition(
    String key, long version, Optional<MonotonicTime> exclusiveSince, MonotonicTime coveredUntil) {

  /** Tells whether the list gives something to this host. */
  static boolean belongsToSelf(Standing standing, String key) {
    return Rendezvous.first(key, standing.members()).equals(Optional.of(standing.self()));
  }

  /** Returns an acquisition that is not yet exclusive. */
  static Acquisition begin(Standing standing, String key, MonotonicTime time) {
    return new Acquisition(key, standing.version(), Optional.empty(), time);
  }

  /** Returns this acquisition after a look at the attestations. */
  Acquisition observe(Standing standing, Duration gapTolerance, MonotonicTime time) {
    boolean gapMatters =
        standing.members().size() > 1 && !time.isBefore(coveredUntil.plus(gapTolerance));
    Optional<MonotonicTime> kept = gapMatters ? Optional.empty() : exclusiveSince;
    if (!isExclusiveNow(standing, time)) {
      return new Acquisition(key, version, kept, coveredUntil);
    }
    return new Acquisition(
        key, version, kept.or(() -> Optional.of(time)), coveredUntil(standing, time));
  }

  /** Tells whether the right has been exclusive for a duration and is so now. */
  boolean isExclusiveFor(Duration duration, Standing standing, MonotonicTime time) {
    return exclusiveSince.isPresent()
        && !time.isBefore(exclusiveSince.get().plus(duration))
        && isExclusiveNow(standing, time);
  }

  private boolean isExclusiveNow(Standing standing, MonotonicTime time) {
    return standing.isAttestedByAll(time)
        && standing.members().stream()
            .filter(member -> !member.equals(standing.self()))
            .allMatch(member -> isAtFittingVersion(standing, member))
        && standing.claimableFrom().keySet().stream()
            .filter(dropped -> !standing.members().contains(dropped))
            .filter(dropped -> precedes(dropped, standing.self()))
            .allMatch(dropped -> standing.mayClaimFrom(dropped, time));
  }

  /** An attestation at a later list version shows that this host acts on an old list. */
  private boolean isAtFittingVersion(Standing standing, HostName member) {
    long attested = standing.attestedVersion().getOrDefault(member, -1L);
    return attested >= version && attested <= standing.version();
  }

  private boolean precedes(HostName dropped, HostName self) {
    return Rendezvous.order(key, List.of(dropped, self)).get(0).equals(dropped);
  }

  private static MonotonicTime coveredUntil(Standing standing, MonotonicTime time) {
    return standing.members().stream()
        .filter(member -> !member.equals(standing.self()))
        .map(member -> standing.attestedUntil().get(member))
        .min(MonotonicTime::compareTo)
        .orElse(time);
  }
}
