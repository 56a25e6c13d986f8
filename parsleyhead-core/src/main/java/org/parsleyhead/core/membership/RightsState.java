package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The attestations that this host gave and got, and the rights that follow.
 *
 * <p>Immutable and thread-safe. All times are of this host's own monotonic clock.
 *
 * @param startedAt when this process started
 * @param nextRequest when the next attestations are requested
 * @param pending the requests that may still be answered, by their nonce
 * @param attestedUntil for each host: before when it will not use what belongs to this host
 * @param attestedVersion for each host: the list version that its last attestation named
 * @param given for each host: the last attestation that this host gave it
 * @param claimableFrom for each host that the list dropped: from when this host may use its rights
 * @param releasing for each host that came back: the standing that has to be applied first
 * @param versions the list versions of the standings that are not yet applied, by sequence number
 * @param appliedVersion the list version that this process acts on
 * @param appliedSequence the sequence number of the standing that this process acts on
 * @param departed for each host that said farewell: the run of its process that did
 * @param stopping whether this process gives up its rights for good
 */
record RightsState(
    MonotonicTime startedAt,
    MonotonicTime nextRequest,
    PMap<Long, PendingRequest> pending,
    PMap<HostName, MonotonicTime> attestedUntil,
    PMap<HostName, Long> attestedVersion,
    PMap<HostName, GivenAttestation> given,
    PMap<HostName, MonotonicTime> claimableFrom,
    PMap<HostName, Long> releasing,
    PMap<Long, Long> versions,
    long appliedVersion,
    long appliedSequence,
    PMap<HostName, Incarnation> departed,
    boolean stopping) {

  /** Returns the state of a process that starts. */
  static RightsState initial(MonotonicTime time) {
    return new RightsState(
        time,
        time,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        0,
        0,
        HashTreePMap.empty(),
        false);
  }

  RightsState withRequests(PMap<Long, PendingRequest> requests, MonotonicTime next) {
    return new RightsState(
        startedAt,
        next,
        requests,
        attestedUntil,
        attestedVersion,
        given,
        claimableFrom,
        releasing,
        versions,
        appliedVersion,
        appliedSequence,
        departed,
        stopping);
  }

  RightsState withAttested(PMap<HostName, MonotonicTime> until, PMap<HostName, Long> version) {
    return new RightsState(
        startedAt,
        nextRequest,
        pending,
        until,
        version,
        given,
        claimableFrom,
        releasing,
        versions,
        appliedVersion,
        appliedSequence,
        departed,
        stopping);
  }

  RightsState withGiven(PMap<HostName, GivenAttestation> attestations) {
    return new RightsState(
        startedAt,
        nextRequest,
        pending,
        attestedUntil,
        attestedVersion,
        attestations,
        claimableFrom,
        releasing,
        versions,
        appliedVersion,
        appliedSequence,
        departed,
        stopping);
  }

  RightsState withClaims(PMap<HostName, MonotonicTime> claims, PMap<HostName, Long> released) {
    return new RightsState(
        startedAt,
        nextRequest,
        pending,
        attestedUntil,
        attestedVersion,
        given,
        claims,
        released,
        versions,
        appliedVersion,
        appliedSequence,
        departed,
        stopping);
  }

  RightsState withApplied(PMap<Long, Long> unapplied, long version, long sequence) {
    return new RightsState(
        startedAt,
        nextRequest,
        pending,
        attestedUntil,
        attestedVersion,
        given,
        claimableFrom,
        releasing,
        unapplied,
        version,
        sequence,
        departed,
        stopping);
  }

  RightsState withDeparted(PMap<HostName, Incarnation> runs) {
    return new RightsState(
        startedAt,
        nextRequest,
        pending,
        attestedUntil,
        attestedVersion,
        given,
        claimableFrom,
        releasing,
        versions,
        appliedVersion,
        appliedSequence,
        runs,
        stopping);
  }

  /** Returns this state without any rights, which it never gets again. */
  RightsState asStopping() {
    return new RightsState(
        startedAt,
        nextRequest,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        given,
        claimableFrom,
        releasing,
        versions,
        appliedVersion,
        appliedSequence,
        departed,
        true);
  }

  /**
   * A request for an attestation.
   *
   * @param host the host that was asked
   * @param sentAt when it was asked
   */
  record PendingRequest(HostName host, MonotonicTime sentAt) {}

  /**
   * An attestation that this host gave.
   *
   * @param incarnation the run of the process that it was given to
   * @param at when it was given
   */
  record GivenAttestation(Incarnation incarnation, MonotonicTime at) {}
}
