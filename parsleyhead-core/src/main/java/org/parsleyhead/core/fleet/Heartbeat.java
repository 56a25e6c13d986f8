package org.parsleyhead.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.dispatch.InstanceLoad;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;

/**
 * The message that a host sends to another several times a second: its membership view, lease
 * claims and statistics.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce the number of the heartbeat, repeated in its answer
 * @param endpoint the endpoint at which the sender receives messages
 * @param leaving whether the sender is about to stop
 * @param era the era of the store that the sender knows; 0 if the store states none
 * @param revision the revision of that era up to which the sender has read the data that the
 *     platform publishes
 * @param highestFence the highest fencing number that the sender has observed
 * @param membershipKnown whether the sender knows the members of the fleet
 * @param contested whether the sender, which does not know the members, has seen servers accept
 *     orders of hosts that it is not in contact with
 * @param capacityPercent the processor share of the sender, in hundredths of a core
 * @param membershipDigest a digest of the hosts that the sender knows and of which are alive
 * @param hosts summaries of the other hosts, by endpoint; empty if the receiver last reported the
 *     same digest
 * @param claims the instances for which the sender requests a vote
 * @param heldInstances the instances whose lease the sender holds
 * @param aggregated whether admitted units and loads are totals over all hosts except the receiver
 * @param admittedUnits the units that the sender has admitted since its start, by limited client
 *     account
 * @param loads the unfinished work that the sender has at each instance
 * @param adapterRequests the number of the sender's requests that use each adapter, for the
 *     instances that the receiver owns
 * @param reports the adapters of the instances that the sender owns, if they changed recently
 * @param answer the answer to the last heartbeat of the receiver, unless it was sent separately
 */
public record Heartbeat(
    long nonce,
    String endpoint,
    boolean leaving,
    long era,
    long revision,
    long highestFence,
    boolean membershipKnown,
    boolean contested,
    int capacityPercent,
    long membershipDigest,
    Map<String, HostSummary> hosts,
    List<String> claims,
    List<String> heldInstances,
    boolean aggregated,
    Map<String, Double> admittedUnits,
    Map<String, InstanceLoad> loads,
    Map<String, Map<AdapterKey, Integer>> adapterRequests,
    List<AdapterReport> reports,
    Optional<HeartbeatAnswer> answer)
    implements PeerMessage {

  /** Copies the collections. */
  public Heartbeat {
    hosts = Map.copyOf(hosts);
    claims = List.copyOf(claims);
    heldInstances = List.copyOf(heldInstances);
    admittedUnits = Map.copyOf(admittedUnits);
    loads = Map.copyOf(loads);
    adapterRequests = Map.copyOf(adapterRequests);
    reports = List.copyOf(reports);
  }
}
