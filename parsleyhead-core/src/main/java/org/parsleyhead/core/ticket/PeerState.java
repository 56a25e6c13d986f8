package org.parsleyhead.core.ticket;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.HostEntry;
import org.parsleyhead.core.membership.HostList;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What one host knows about the catalogues of the other hosts, and the state of the exchanges with
 * them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param hostList the latest host list
 * @param firstHostListAt the time at which the first host list was received
 * @param alive the hosts that are considered alive
 * @param nextComparison the time at which the next comparison is due
 * @param nextTransfer the earliest time at which the next transfer may be requested
 * @param drawnIdentifiers the number of message identifiers drawn so far
 * @param latestComparisons the identifier of the latest comparison sent to each host
 * @param incompleteTransfers the received parts of incomplete transfers, by sender
 * @param readyPeerSeen whether a summary of a ready host was received
 * @param highestPeerMergedThrough the highest number up to which any other host has merged all
 *     tickets
 */
record PeerState(
    HostList hostList,
    Optional<MonotonicTime> firstHostListAt,
    Set<HostName> alive,
    MonotonicTime nextComparison,
    MonotonicTime nextTransfer,
    int drawnIdentifiers,
    PMap<HostName, Long> latestComparisons,
    PMap<HostName, PMap<Integer, ItemTransfer>> incompleteTransfers,
    boolean readyPeerSeen,
    long highestPeerMergedThrough) {

  static PeerState initial(MonotonicTime time) {
    return new PeerState(
        HostList.EMPTY,
        Optional.empty(),
        Set.of(),
        time,
        time,
        0,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        false,
        0);
  }

  PeerState withHosts(HostList newList, Set<HostName> newAlive, MonotonicTime time) {
    HostList newest = newList.version() >= hostList.version() ? newList : hostList;
    boolean first = firstHostListAt.isEmpty() && newest.version() > HostList.EMPTY.version();
    return new PeerState(
        newest,
        first ? Optional.of(time) : firstHostListAt,
        newAlive,
        nextComparison,
        nextTransfer,
        drawnIdentifiers,
        latestComparisons,
        incompleteTransfers,
        readyPeerSeen,
        highestPeerMergedThrough);
  }

  PeerState withNextComparison(MonotonicTime next) {
    return new PeerState(
        hostList,
        firstHostListAt,
        alive,
        next,
        nextTransfer,
        drawnIdentifiers,
        latestComparisons,
        incompleteTransfers,
        readyPeerSeen,
        highestPeerMergedThrough);
  }

  PeerState withNextTransfer(MonotonicTime next) {
    return new PeerState(
        hostList,
        firstHostListAt,
        alive,
        nextComparison,
        next,
        drawnIdentifiers,
        latestComparisons,
        incompleteTransfers,
        readyPeerSeen,
        highestPeerMergedThrough);
  }

  PeerState withTransfers(PMap<HostName, PMap<Integer, ItemTransfer>> parts) {
    return new PeerState(
        hostList,
        firstHostListAt,
        alive,
        nextComparison,
        nextTransfer,
        drawnIdentifiers,
        latestComparisons,
        parts,
        readyPeerSeen,
        highestPeerMergedThrough);
  }

  PeerState withDrawnIdentifier() {
    return new PeerState(
        hostList,
        firstHostListAt,
        alive,
        nextComparison,
        nextTransfer,
        drawnIdentifiers + 1,
        latestComparisons,
        incompleteTransfers,
        readyPeerSeen,
        highestPeerMergedThrough);
  }

  PeerState withComparison(HostName host, long identifier) {
    return new PeerState(
        hostList,
        firstHostListAt,
        alive,
        nextComparison,
        nextTransfer,
        drawnIdentifiers + 1,
        latestComparisons.plus(host, identifier),
        incompleteTransfers,
        readyPeerSeen,
        highestPeerMergedThrough);
  }

  PeerState withPeerSummary(boolean ready, long mergedThrough) {
    return new PeerState(
        hostList,
        firstHostListAt,
        alive,
        nextComparison,
        nextTransfer,
        drawnIdentifiers,
        latestComparisons,
        incompleteTransfers,
        readyPeerSeen || ready,
        Math.max(highestPeerMergedThrough, mergedThrough));
  }

  /** Returns the other hosts that are alive, or all other hosts if none is known to be alive. */
  List<HostName> reachablePeers(HostName self) {
    List<HostName> others =
        hostList.hosts().stream().map(HostEntry::name).filter(host -> !host.equals(self)).toList();
    List<HostName> aliveOthers = others.stream().filter(alive::contains).toList();
    return aliveOthers.isEmpty() ? others : aliveOthers;
  }
}
