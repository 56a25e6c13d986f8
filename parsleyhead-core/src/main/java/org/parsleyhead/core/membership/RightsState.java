package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The attestations that this host has issued and received, and the exclusive rights that follow
 * from them.
 *
 * <p>Immutable and thread-safe. All timestamps are readings of this host's own monotonic clock.
 *
 * @param startedAt when this process started
 * @param nextRequestAt when the next attestation requests are due
 * @param pending the requests that may still be answered, by nonce
 * @param attestedUntil for each host, when its attestation to this host expires
 * @param attestedVersion for each host, the list version in its last attestation
 * @param issued for each host, the last attestation that this host issued to it
 * @param claimableFrom for each host removed from the list, the earliest time at which this host
 *     may use its rights
 * @param releasing for each host whose rights this host no longer claims, the sequence number of
 *     the rights snapshot that must be applied before this host attests to it again
 * @param unappliedVersions the list versions of the rights snapshots that are not yet applied, by
 *     sequence number
 * @param appliedVersion the list version of the rights snapshot in use by this process
 * @param appliedSequence the sequence number of the rights snapshot in use by this process
 * @param departed for each host, the last run of its process that has left or was replaced
 * @param stopping whether this process is releasing its rights permanently
 */
record RightsState(
    MonotonicTime startedAt,
    MonotonicTime nextRequestAt,
    PMap<Long, PendingRequest> pending,
    PMap<HostName, MonotonicTime> attestedUntil,
    PMap<HostName, Long> attestedVersion,
    PMap<HostName, IssuedAttestation> issued,
    PMap<HostName, MonotonicTime> claimableFrom,
    PMap<HostName, Long> releasing,
    PMap<Long, Long> unappliedVersions,
    long appliedVersion,
    long appliedSequence,
    PMap<HostName, Incarnation> departed,
    boolean stopping) {

  /** Returns the initial state of a process. */
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
        issued,
        claimableFrom,
        releasing,
        unappliedVersions,
        appliedVersion,
        appliedSequence,
        departed,
        stopping);
  }

  RightsState withAttestations(PMap<HostName, MonotonicTime> until, PMap<HostName, Long> version) {
    return new RightsState(
        startedAt,
        nextRequestAt,
        pending,
        until,
        version,
        issued,
        claimableFrom,
        releasing,
        unappliedVersions,
        appliedVersion,
        appliedSequence,
        departed,
        stopping);
  }

  RightsState withIssued(PMap<HostName, IssuedAttestation> attestations) {
    return new RightsState(
        startedAt,
        nextRequestAt,
        pending,
        attestedUntil,
        attestedVersion,
        attestations,
        claimableFrom,
        releasing,
        unappliedVersions,
        appliedVersion,
        appliedSequence,
        departed,
        stopping);
  }

  RightsState withClaims(PMap<HostName, MonotonicTime> claims, PMap<HostName, Long> released) {
    return new RightsState(
        startedAt,
        nextRequestAt,
        pending,
        attestedUntil,
        attestedVersion,
        issued,
        claims,
        released,
        unappliedVersions,
        appliedVersion,
        appliedSequence,
        departed,
        stopping);
  }

  RightsState withApplied(PMap<Long, Long> unapplied, long version, long sequence) {
    return new RightsState(
        startedAt,
        nextRequestAt,
        pending,
        attestedUntil,
        attestedVersion,
        issued,
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
        nextRequestAt,
        pending,
        attestedUntil,
        attestedVersion,
        issued,
        claimableFrom,
        releasing,
        unappliedVersions,
        appliedVersion,
        appliedSequence,
        runs,
        stopping);
  }

  /** Returns this state without any rights; it never acquires rights again. */
  RightsState asStopping() {
    return new RightsState(
        startedAt,
        nextRequestAt,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        issued,
        claimableFrom,
        releasing,
        unappliedVersions,
        appliedVersion,
        appliedSequence,
        departed,
        true);
  }

  /**
   * An outstanding request for an attestation.
   *
   * @param host the host that the request was sent to
   * @param sentAt when it was sent
   */
  record PendingRequest(HostName host, MonotonicTime sentAt) {}

  /**
   * An attestation that this host issued.
   *
   * @param incarnation the run of the process that it was issued to
   * @param issuedAt when it was issued
   */
  record IssuedAttestation(Incarnation incarnation, MonotonicTime issuedAt) {}
}
