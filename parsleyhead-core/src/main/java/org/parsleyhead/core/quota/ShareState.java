package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The share of all limits that this host holds, and until when it may use it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param startedAt when this process started
 * @param rightsSnapshot the latest rights snapshot; empty before the first
 * @param allocations the allocations that this host knows
 * @param joined whether this process has joined the allocations
 * @param peers the latest status of each other host
 * @param round the number of the next notice
 * @param roundSentAt when the most recent notices were sent, by their numbers
 * @param nextNoticeAt when the next notice is due
 * @param agreedSince since when all members have acted on the same list version; empty if they do
 *     not
 * @param usableUntil the expiry of the share according to the attestations, exclusive; empty if the
 *     share may not be used
 */
record ShareState(
    MonotonicTime startedAt,
    Optional<RightsSnapshot> rightsSnapshot,
    AllocationView allocations,
    boolean joined,
    PMap<HostName, PeerStatus> peers,
    long round,
    PMap<Long, MonotonicTime> roundSentAt,
    MonotonicTime nextNoticeAt,
    Optional<MonotonicTime> agreedSince,
    Optional<MonotonicTime> usableUntil) {

  /** Returns the state of a process that has just started: without rights snapshot and share. */
  static ShareState initial(MonotonicTime time) {
    return new ShareState(
        time,
        Optional.empty(),
        AllocationView.EMPTY,
        false,
        HashTreePMap.empty(),
        0,
        HashTreePMap.empty(),
        time,
        Optional.empty(),
        Optional.empty());
  }

  /** Returns the parts of all limits that belong to this host. */
  long parts() {
    return joined && rightsSnapshot.isPresent()
        ? allocations.partsOf(rightsSnapshot.get().self())
        : 0;
  }

  /** Returns whether the share may be used at an instant. */
  boolean isUsable(MonotonicTime time) {
    return usableUntil.isPresent() && time.isBefore(usableUntil.get());
  }

  ShareState withRightsSnapshot(RightsSnapshot changed, AllocationView view) {
    return new ShareState(
        startedAt,
        Optional.of(changed),
        view,
        joined,
        peers,
        round,
        roundSentAt,
        nextNoticeAt,
        agreedSince,
        usableUntil);
  }

  ShareState withPeer(HostName host, PeerStatus peer, AllocationView view) {
    return new ShareState(
        startedAt,
        rightsSnapshot,
        view,
        joined,
        peers.plus(host, peer),
        round,
        roundSentAt,
        nextNoticeAt,
        agreedSince,
        usableUntil);
  }

  ShareState withNoticeSent(PMap<Long, MonotonicTime> sent, MonotonicTime next) {
    return new ShareState(
        startedAt,
        rightsSnapshot,
        allocations,
        joined,
        peers,
        round + 1,
        sent,
        next,
        agreedSince,
        usableUntil);
  }

  ShareState withNoticeDue(MonotonicTime due) {
    return new ShareState(
        startedAt,
        rightsSnapshot,
        allocations,
        joined,
        peers,
        round,
        roundSentAt,
        due,
        agreedSince,
        usableUntil);
  }

  ShareState withJoined(AllocationView view) {
    return new ShareState(
        startedAt,
        rightsSnapshot,
        view,
        true,
        peers,
        round,
        roundSentAt,
        nextNoticeAt,
        agreedSince,
        usableUntil);
  }

  ShareState withAgreedSince(Optional<MonotonicTime> since) {
    return new ShareState(
        startedAt,
        rightsSnapshot,
        allocations,
        joined,
        peers,
        round,
        roundSentAt,
        nextNoticeAt,
        since,
        usableUntil);
  }

  ShareState withUsableUntil(Optional<MonotonicTime> until) {
    return new ShareState(
        startedAt,
        rightsSnapshot,
        allocations,
        joined,
        peers,
        round,
        roundSentAt,
        nextNoticeAt,
        agreedSince,
        until);
  }
}
