package org.parsleyhead.core.quota;

import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.Standing;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Which share of all limits this host has and until when it may use it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param startedAt when this process started
 * @param standing the last standing; empty before the first
 * @param cuts the cuts that this host knows
 * @param entered whether this process has taken up its share
 * @param peers the last notices of the other hosts
 * @param round the number of the next notice
 * @param rounds when the last notices were sent, by their numbers
 * @param nextNoticeAt when the next notice is due
 * @param alikeSince since when all members act on the same list version; empty if they do not
 * @param rightUntil before when the share may be used, by attestations; empty if it may not
 */
record ShareState(
    MonotonicTime startedAt,
    Optional<Standing> standing,
    CutView cuts,
    boolean entered,
    PMap<HostName, Peer> peers,
    long round,
    PMap<Long, MonotonicTime> rounds,
    MonotonicTime nextNoticeAt,
    Optional<MonotonicTime> alikeSince,
    Optional<MonotonicTime> rightUntil) {

  static ShareState initial(MonotonicTime time) {
    return new ShareState(
        time,
        Optional.empty(),
        CutView.EMPTY,
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
    return entered && standing.isPresent() ? cuts.partsOf(standing.get().self()) : 0;
  }

  /** Tells whether the share may be used at an instant. */
  boolean isUsable(MonotonicTime time) {
    return rightUntil.isPresent() && time.isBefore(rightUntil.get());
  }

  ShareState withStanding(Standing changed, CutView view) {
    return new ShareState(
        startedAt,
        Optional.of(changed),
        view,
        entered,
        peers,
        round,
        rounds,
        nextNoticeAt,
        alikeSince,
        rightUntil);
  }

  ShareState withPeer(HostName host, Peer peer, CutView view) {
    return new ShareState(
        startedAt,
        standing,
        view,
        entered,
        peers.plus(host, peer),
        round,
        rounds,
        nextNoticeAt,
        alikeSince,
        rightUntil);
  }

  ShareState withNotice(PMap<Long, MonotonicTime> sent, MonotonicTime next) {
    return new ShareState(
        startedAt, standing, cuts, entered, peers, round + 1, sent, next, alikeSince, rightUntil);
  }

  ShareState withNoticeDue(MonotonicTime due) {
    return new ShareState(
        startedAt, standing, cuts, entered, peers, round, rounds, due, alikeSince, rightUntil);
  }

  ShareState withEntered(CutView view) {
    return new ShareState(
        startedAt,
        standing,
        view,
        true,
        peers,
        round,
        rounds,
        nextNoticeAt,
        alikeSince,
        rightUntil);
  }

  ShareState withAlikeSince(Optional<MonotonicTime> since) {
    return new ShareState(
        startedAt, standing, cuts, entered, peers, round, rounds, nextNoticeAt, since, rightUntil);
  }

  ShareState withRightUntil(Optional<MonotonicTime> until) {
    return new ShareState(
        startedAt, standing, cuts, entered, peers, round, rounds, nextNoticeAt, alikeSince, until);
  }
}
