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
 * What one host knows of the other hosts' catalogues, and which exchanges are under way.
 *
 * <p>Immutable and thread-safe.
 *
 * @param list the host list
 * @param listedAt when a host list was first read
 * @param alive the hosts that count as alive
 * @param nextComparison when the next comparison is due
 * @param nextTransfer when the next transfer of items may be asked for
 * @param identifiers how many identifiers of messages were drawn
 * @param comparisons the last comparison that was sent to each host
 * @param transfers the parts of transfers that came, by sender
 * @param readyPeerHeard whether a host that serves callers told how far its catalogue reaches
 * @param target the highest number up to which another host has merged all tickets
 */
record PeerState(
    HostList list,
    Optional<MonotonicTime> listedAt,
    Set<HostName> alive,
    MonotonicTime nextComparison,
    MonotonicTime nextTransfer,
    int identifiers,
    PMap<HostName, Long> comparisons,
    PMap<HostName, PMap<Integer, ItemTransfer>> transfers,
    boolean readyPeerHeard,
    long target) {

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
    HostList newest = newList.version() >= list.version() ? newList : list;
    boolean first = listedAt.isEmpty() && newest.version() > HostList.EMPTY.version();
    return new PeerState(
        newest,
        first ? Optional.of(time) : listedAt,
        newAlive,
        nextComparison,
        nextTransfer,
        identifiers,
        comparisons,
        transfers,
        readyPeerHeard,
        target);
  }

  PeerState withNextComparison(MonotonicTime next) {
    return new PeerState(
        list,
        listedAt,
        alive,
        next,
        nextTransfer,
        identifiers,
        comparisons,
        transfers,
        readyPeerHeard,
        target);
  }

  PeerState withNextTransfer(MonotonicTime next) {
    return new PeerState(
        list,
        listedAt,
        alive,
        nextComparison,
        next,
        identifiers,
        comparisons,
        transfers,
        readyPeerHeard,
        target);
  }

  PeerState withTransfers(PMap<HostName, PMap<Integer, ItemTransfer>> parts) {
    return new PeerState(
        list,
        listedAt,
        alive,
        nextComparison,
        nextTransfer,
        identifiers,
        comparisons,
        parts,
        readyPeerHeard,
        target);
  }

  PeerState withDrawnIdentifier() {
    return new PeerState(
        list,
        listedAt,
        alive,
        nextComparison,
        nextTransfer,
        identifiers + 1,
        comparisons,
        transfers,
        readyPeerHeard,
        target);
  }

  PeerState withComparison(HostName host, long identifier) {
    return new PeerState(
        list,
        listedAt,
        alive,
        nextComparison,
        nextTransfer,
        identifiers + 1,
        comparisons.plus(host, identifier),
        transfers,
        readyPeerHeard,
        target);
  }

  PeerState heard(boolean ready, long mergedThrough) {
    return new PeerState(
        list,
        listedAt,
        alive,
        nextComparison,
        nextTransfer,
        identifiers,
        comparisons,
        transfers,
        readyPeerHeard || ready,
        Math.max(target, mergedThrough));
  }

  /** Returns the other hosts that count as alive; all others if none does. */
  List<HostName> others(HostName self) {
    List<HostName> listed =
        list.hosts().stream().map(HostEntry::name).filter(host -> !host.equals(self)).toList();
    List<HostName> living = listed.stream().filter(alive::contains).toList();
    return living.isEmpty() ? listed : living;
  }
}
